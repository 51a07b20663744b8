import {MAX_QUARANTINE_MS} from '@lilacledge/policy';
import type {Suspicion} from '@lilacledge/policy';
import {sleep} from '@lilacledge/shared';
import type {Clock} from '@lilacledge/shared';
import {describeStoreFailure} from '../config/storeReads.js';
import type {PrefixHandler} from '../config/storeWatcher.js';
import type {Logger} from '../log/boundedLog.js';
import {parseSuspicion} from '../peers/suspicionMessage.js';
import type {MetadataStore} from '../ports.js';
import {SuspicionSource} from './requestSuspicions.js';
import type {RequestSuspicions} from './requestSuspicions.js';

/** Delay before a failed write is retried. */
const RETRY_INTERVAL_MS = 1_000;

/** Limits the requests that one entry stores at a time, as calls to the store cost money. */
const MAX_STORED_REQUESTS = 50;

/** Dependencies of `storeQuarantines`. */
export interface StoredSuspicionSources {
  readonly store: MetadataStore;
  readonly prefix: string;
  readonly clock: Clock;
  readonly log: Logger;
  readonly suspicions: RequestSuspicions;
  /** Ends all retries of writes. */
  readonly signal: AbortSignal;
}

/**
 * Writes quarantined requests to the metadata store, so that they survive a simultaneous
 * restart of all entries, which have no disk. The key has a lease as long as the longest
 * quarantine. Only the entry that saw the crash which led to the quarantine writes it, and
 * writes it again when the store was restored from a copy that may lack it.
 */
export function storeQuarantines(sources: StoredSuspicionSources): void {
  const {store, suspicions} = sources;
  const revisions = new Map<string, Promise<number | undefined>>();
  suspicions.onChange((suspicion, source) => {
    const {fingerprint} = suspicion;
    const isQuarantined = suspicions.isQuarantined(fingerprint);
    const written = revisions.get(fingerprint);
    if (!isQuarantined && written !== undefined) {
      revisions.delete(fingerprint);
      void remove(sources, fingerprint, written);
      return;
    }
    const isOwn = source === SuspicionSource.OWN && written === undefined;
    const isFull = revisions.size >= MAX_STORED_REQUESTS;
    if (!isQuarantined || !isOwn || isFull) return;
    revisions.set(fingerprint, writeUntilStored(sources, fingerprint));
    sources.clock.after(MAX_QUARANTINE_MS, () => revisions.delete(fingerprint));
  });
  store.onRestored(() => {
    for (const [fingerprint, written] of revisions) {
      const writeAgain = () => writeUntilStored(sources, fingerprint);
      revisions.set(fingerprint, written.then(writeAgain));
    }
  });
}

/**
 * Merges suspicions that entries have stored. A deleted key is ignored: the stored ages
 * determine when a quarantine ends.
 */
export function storedSuspicionSection(
  prefix: string,
  suspicions: RequestSuspicions,
  log: Logger,
): PrefixHandler {
  return {
    prefix,
    written: ({key, value, revision}) => {
      const suspicion = parseSuspicion(parse(value));
      if (suspicion === undefined) {
        log.warn('suspicion.refused', {key, revision});
        return;
      }
      suspicions.merge(suspicion, SuspicionSource.STORE);
    },
    deleted: () => {},
  };
}

/**
 * Retries the write until it succeeds or the request is no longer quarantined. Resolves
 * with the revision of the stored key, if any.
 */
async function writeUntilStored(
  sources: StoredSuspicionSources,
  fingerprint: string,
): Promise<number | undefined> {
  const {clock, signal, suspicions} = sources;
  while (!signal.aborted) {
    const suspicion = suspicions.get(fingerprint);
    if (suspicion === undefined) return undefined;
    if (!suspicions.isQuarantined(fingerprint)) return undefined;
    const revision = await write(sources, suspicion);
    if (revision !== undefined) return revision;
    await sleep(clock, RETRY_INTERVAL_MS, signal);
  }
  return undefined;
}

async function write(
  {store, prefix, log}: StoredSuspicionSources,
  suspicion: Suspicion,
): Promise<number | undefined> {
  const granted = await store.grantLease(MAX_QUARANTINE_MS);
  if (granted.kind !== 'ok') return undefined;
  const lease = granted.value;
  const {fingerprint} = suspicion;
  const put = await store.put({
    key: `${prefix}${fingerprint}`,
    value: Buffer.from(JSON.stringify(suspicion)),
    lease,
  });
  if (put.kind === 'ok') return put.value;
  const cause = describeStoreFailure(put);
  log.info('suspicion.notStored', {fingerprint, cause});
  return undefined;
}

async function remove(
  {store, prefix}: StoredSuspicionSources,
  fingerprint: string,
  written: Promise<number | undefined>,
): Promise<void> {
  const revision = await written;
  if (revision === undefined) return;
  await store.remove(`${prefix}${fingerprint}`, revision);
}

function parse(value: Buffer): unknown {
  try {
    return JSON.parse(value.toString('utf8'));
  } catch {
    // The caller logs it like any other invalid value.
    return undefined;
  }
}
