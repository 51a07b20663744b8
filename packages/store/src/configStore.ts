import {
  changedParts,
  joinConfig,
  missingParts,
  MAX_REMEMBERED_WRITES,
  splitConfig,
} from '@lilacledge/config';
import type {
  ConfigHead,
  ConfigPart,
  ConfigState,
  FleetConfig,
} from '@lilacledge/config';
import type {Clock} from '@lilacledge/shared';
import {z} from 'zod';
import type {KeyValueStore, StoredValue} from './ports.js';
import {StoreError} from './storeError.js';

export const CONFIG_HEAD_KEY = 'lilacledge/config/head';
const PARTS_PREFIX = 'lilacledge/config/parts/';
const REVISIONS_PREFIX = 'lilacledge/config/revisions/';

const count = z.number().int().min(0);

const headSchema = z.object({
  revision: count,
  parts: z.record(z.string(), z.string()),
  writes: z.array(z.unknown()),
});

const writeSchema = z.object({
  id: z.string(),
  revision: count,
  author: z.string(),
  atWallMs: z.number().min(0).transform(Math.round),
});

/** A change of the configuration, submitted by an operator. */
export interface ConfigChange {
  /** Chosen by the operator's client; a retry with the same id is idempotent. */
  readonly writeId: string;
  readonly author: string;
  /** The revision that the change is based on; 0 if there is none yet. */
  readonly baseRevision: number;
  readonly config: FleetConfig;
}

/**
 * Outcome of a change. `unknown`: it may take effect; `storeBehind`: the store has an older
 * revision than this process.
 */
export type ApplyResult =
  | {readonly outcome: 'applied'; readonly revision: number}
  | {
      readonly outcome: 'conflict';
      readonly head: ConfigHead;
      readonly changed: readonly string[];
    }
  | {readonly outcome: 'notApplied'; readonly detail: string}
  | {readonly outcome: 'unknown'; readonly detail: string}
  | {readonly outcome: 'storeBehind'; readonly storeRevision: number};

/** Reads and writes the operators' configuration in the platform's key-value store. */
export interface ConfigStore {
  readHead(): Promise<ConfigHead | undefined>;
  /** Reads the state of a head; parts that `known` contains are not read again. */
  readState(
    head: ConfigHead,
    known: ConfigState | undefined,
  ): Promise<ConfigState>;
  readRevision(revision: number): Promise<ConfigHead | undefined>;
  /** Applies a change, unless the store is older than `knownRevision`. */
  apply(change: ConfigChange, knownRevision: number): Promise<ApplyResult>;
  /**
   * Overwrites a store that was restored to an older revision with `state`, under the
   * revision after that of `state`, so that no process sees the revision decrease.
   */
  restore(
    state: ConfigState,
    writeId: string,
    author: string,
  ): Promise<ApplyResult>;
  /** Yields each new head; ends or throws when the watch breaks. */
  watchHead(signal: AbortSignal): AsyncIterable<ConfigHead>;
}

export function createConfigStore(
  store: KeyValueStore,
  clock: Clock,
): ConfigStore {
  return {
    async readHead() {
      const stored = await store.get(CONFIG_HEAD_KEY);
      return stored === undefined ? undefined : parseHead(stored);
    },
    readState: (head, known) => readState(store, head, known),
    async readRevision(revision) {
      const stored = await store.get(REVISIONS_PREFIX + revision);
      return stored === undefined ? undefined : parseHead(stored);
    },
    apply: (change, knownRevision) =>
      apply(store, clock, change, knownRevision),
    restore: (state, writeId, author) =>
      restore(store, clock, state, writeId, author),
    async *watchHead(signal) {
      for await (const stored of store.watch(CONFIG_HEAD_KEY, signal)) {
        yield parseHead(stored);
      }
    },
  };
}

async function readState(
  store: KeyValueStore,
  head: ConfigHead,
  known: ConfigState | undefined,
): Promise<ConfigState> {
  const contents = new Map(known?.contents);
  for (const hash of missingParts(head, contents)) {
    const stored = await store.get(PARTS_PREFIX + hash);
    if (stored !== undefined) contents.set(hash, stored.value);
  }
  return joinConfig(head, contents, known);
}

/**
 * Writes the parts first and the head last, so that no reader sees an incomplete change.
 * If the answer to the last write is lost, the head is read: it lists the write id if and
 * only if the change took effect.
 */
async function apply(
  store: KeyValueStore,
  clock: Clock,
  change: ConfigChange,
  knownRevision: number,
): Promise<ApplyResult> {
  const parts = splitConfig(change.config);
  let stored: StoredValue | undefined;
  try {
    stored = await store.get(CONFIG_HEAD_KEY);
    const earlyResult = resolveFromHead(stored, change, parts, knownRevision);
    if (earlyResult !== undefined) return earlyResult;
    await writeParts(store, parts, stored);
  } catch (error) {
    return {outcome: 'notApplied', detail: String(error)};
  }
  const head = nextHead(stored, change, parts, clock.wallMs());
  try {
    return await swapHead(store, stored, head, change, parts, knownRevision);
  } catch (error) {
    return resolveLostAnswer(store, change, error);
  }
}

async function restore(
  store: KeyValueStore,
  clock: Clock,
  state: ConfigState,
  writeId: string,
  author: string,
): Promise<ApplyResult> {
  const parts = splitConfig(state.config);
  let stored: StoredValue | undefined;
  try {
    stored = await store.get(CONFIG_HEAD_KEY);
    const storeRevision = stored === undefined ? 0 : parseHead(stored).revision;
    if (storeRevision >= state.head.revision) {
      return {outcome: 'notApplied', detail: 'the store is not behind'};
    }
    await writeParts(store, parts, undefined);
  } catch (error) {
    return {outcome: 'notApplied', detail: String(error)};
  }
  const base = {...stored, value: JSON.stringify(state.head)};
  const change = {
    writeId,
    author,
    baseRevision: state.head.revision,
    config: state.config,
  };
  const head = nextHead(base, change, parts, clock.wallMs());
  try {
    return await swapHead(store, stored, head, change, parts, 0);
  } catch (error) {
    return resolveLostAnswer(store, change, error);
  }
}

function resolveFromHead(
  stored: StoredValue | undefined,
  change: ConfigChange,
  parts: readonly ConfigPart[],
  knownRevision: number,
): ApplyResult | undefined {
  const head = stored === undefined ? EMPTY_HEAD : parseHead(stored);
  const earlier = head.writes.find((write) => write.id === change.writeId);
  if (earlier !== undefined) {
    return {outcome: 'applied', revision: earlier.revision};
  }
  if (head.revision < knownRevision) {
    return {outcome: 'storeBehind', storeRevision: head.revision};
  }
  if (head.revision !== change.baseRevision) {
    const wanted = {...head, parts: partHashes(parts)};
    return {outcome: 'conflict', head, changed: changedParts(wanted, head)};
  }
  return undefined;
}

async function writeParts(
  store: KeyValueStore,
  parts: readonly ConfigPart[],
  stored: StoredValue | undefined,
): Promise<void> {
  const present = stored === undefined ? {} : parseHead(stored).parts;
  const hashes = new Set(Object.values(present));
  for (const part of parts) {
    if (hashes.has(part.hash)) continue;
    await store.put({key: PARTS_PREFIX + part.hash, value: part.text});
  }
}

async function swapHead(
  store: KeyValueStore,
  stored: StoredValue | undefined,
  head: ConfigHead,
  change: ConfigChange,
  parts: readonly ConfigPart[],
  knownRevision: number,
): Promise<ApplyResult> {
  const value = JSON.stringify(head);
  const condition = {
    key: CONFIG_HEAD_KEY,
    modRevision: stored?.modRevision ?? 0,
  };
  const swap = await store.compareAndSwap(
    [condition],
    [
      {key: CONFIG_HEAD_KEY, value},
      {key: REVISIONS_PREFIX + head.revision, value},
    ],
  );
  if (swap.outcome === 'swapped') {
    return {outcome: 'applied', revision: head.revision};
  }
  const current = await store.get(CONFIG_HEAD_KEY);
  return (
    resolveFromHead(current, change, parts, knownRevision) ?? {
      outcome: 'notApplied',
      detail: 'the head changed and changed back; ask again',
    }
  );
}

async function resolveLostAnswer(
  store: KeyValueStore,
  change: ConfigChange,
  error: unknown,
): Promise<ApplyResult> {
  if (error instanceof StoreError && error.kind === 'unavailable') {
    return {outcome: 'notApplied', detail: error.message};
  }
  try {
    const stored = await store.get(CONFIG_HEAD_KEY);
    const head = stored === undefined ? EMPTY_HEAD : parseHead(stored);
    const write = head.writes.find((entry) => entry.id === change.writeId);
    if (write !== undefined) {
      return {outcome: 'applied', revision: write.revision};
    }
    // The write may still arrive at the store, so its absence proves nothing.
    return {outcome: 'unknown', detail: 'not seen in the store so far'};
  } catch (readError) {
    return {outcome: 'unknown', detail: String(readError)};
  }
}

const EMPTY_HEAD: ConfigHead = {revision: 0, parts: {}, writes: []};

function nextHead(
  stored: {readonly value: string} | undefined,
  change: ConfigChange,
  parts: readonly ConfigPart[],
  atWallMs: number,
): ConfigHead {
  const before = stored === undefined ? EMPTY_HEAD : parseHead(stored);
  const revision = before.revision + 1;
  const write = {
    id: change.writeId,
    revision,
    author: change.author,
    atWallMs,
  };
  return {
    revision,
    parts: partHashes(parts),
    writes: [write, ...before.writes].slice(0, MAX_REMEMBERED_WRITES),
  };
}

function partHashes(parts: readonly ConfigPart[]): Record<string, string> {
  return Object.fromEntries(parts.map((part) => [part.name, part.hash]));
}

/** Throws if the value is no head; writes that can't be read are left out. */
function parseHead(stored: {readonly value: string}): ConfigHead {
  const {writes, ...head} = headSchema.parse(JSON.parse(stored.value));
  const readable = writes.map((write) => writeSchema.safeParse(write).data);
  return {...head, writes: readable.filter((write) => write !== undefined)};
}
