import type {StoreReturn} from '@lilacledge/policy';
import {assertNever, backoffMs, sleep} from '@lilacledge/shared';
import type {Clock, Random} from '@lilacledge/shared';
import type {DecisionLogger} from '../log/boundedLog.js';
import type {
  MetadataStore,
  StoreChange,
  StoreChanges,
  StoreFailure,
  StoreItem,
  StoreReply,
} from '../ports.js';
import {describeFailure, listBelow, logSlowAnswer} from './storeReads.js';

/**
 * How long the first watch after an outage waits: as short as can be, since one
 * that is cut while it waits looks as if the store had not returned.
 */
const PROBE_WAIT_MS = 1;

/** Pause after a call that failed: short, as a bound runs from the return. */
const RETRY_BACKOFF = {firstMs: 60, maxMs: 800};

/**
 * What is told of the items below one prefix. `clearMs` is the last moment at which
 * the store is known to have had no such change yet: news may be long on its way.
 */
export interface MirrorSection {
  readonly prefix: string;
  written(item: StoreItem, clearMs: number): void;
  deleted(key: string, clearMs: number, revision: number): void;
  /** All that the store had up to a revision was told, by a call of `sentMs`. */
  caughtUp?(revision: number, sentMs: number): void;
  /** The store was read whole at a revision; it has items under these keys alone. */
  listed?(keys: ReadonlySet<string>, revision: number): void;
}

/** What a mirror tells of the store itself. */
export interface MirrorListener {
  /** The store answers again; what changed meanwhile is told after this. */
  returned(seen: StoreReturn): void;
  /** The store stopped answering this process. */
  lost(): void;
}

/** How eagerly a mirror follows the store. */
export interface MirrorPace {
  /**
   * How long one watch waits; a dead connection is noticed within this time and
   * a margin.
   */
  readonly waitMs: number;
  /** Pause after changes, in which more of them gather. */
  readonly gatherMs: number;
}

/** What a mirror is made from. */
export interface MirrorSources {
  readonly sections: readonly MirrorSection[];
  readonly store: MetadataStore;
  readonly listener: MirrorListener;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: DecisionLogger;
  readonly pace: MirrorPace;
}

/**
 * Follows the items below some prefixes of the store with one watch. Every answer of
 * a watch is paid for, and counts against the rate that all processes share.
 */
export class StoreMirror {
  private readonly revisions = new Map<string, number>();
  /** Begins all keys below the prefixes, and maybe others. */
  private readonly watchedPrefix: string;
  private lostSinceMs: number | undefined;
  /** When the store was last known to have failed a new call, since the loss. */
  private lastFailedMs: number | undefined;
  /** All that the store had at this time is known; at first nothing is. */
  private clearMs = Number.NEGATIVE_INFINITY;
  /** The watch that waits, which a probe ends. */
  private waiting: AbortController | undefined;
  /** True until the store has answered a probe, or failed to. */
  private isProbing = false;

  constructor(private readonly sources: MirrorSources) {
    const prefixes = sources.sections.map(({prefix}) => prefix);
    this.watchedPrefix = prefixes.reduce(commonPrefix);
  }

  /** Runs until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, log, random} = this.sources;
    this.lostSinceMs = clock.nowMs();
    let failures = 0;
    let revision: number | undefined;
    while (!signal.aborted) {
      const sentMs = clock.nowMs();
      const step =
        revision === undefined
          ? await this.list()
          : await this.watch(revision, signal);
      if (step.kind === 'at') {
        failures = 0;
        revision = step.revision;
        continue;
      }
      if (signal.aborted) return;
      if (step.failure.kind === 'compacted') {
        log.warn('store.compacted', {revision});
        revision = undefined;
        continue;
      }
      this.noteFailed(step.failure, sentMs);
      const waitMs = backoffMs(RETRY_BACKOFF, failures++, random);
      await sleep(clock, waitMs, signal);
    }
  }

  /** Asks the store at once, as another call to it has failed. */
  probe(): void {
    this.isProbing = true;
    this.waiting?.abort();
  }

  private get watchWaitMs(): number {
    // After an outage the first answer must come at once, changes or none.
    const isLost = this.lostSinceMs !== undefined;
    return isLost || this.isProbing ? PROBE_WAIT_MS : this.sources.pace.waitMs;
  }

  /** Reads all items; what is no longer there counts as deleted. */
  private async list(): Promise<MirrorStep> {
    const {sections, store, clock, log} = this.sources;
    const sentMs = clock.nowMs();
    const listings = await Promise.all(
      sections.map(({prefix}) => listBelow(store, clock, log, prefix)),
    );
    const items: StoreItem[] = [];
    let revision = Number.POSITIVE_INFINITY;
    for (const listing of listings) {
      if (listing.kind !== 'ok') return {kind: 'failed', failure: listing};
      items.push(...listing.value.items);
      // Listings are no snapshot: changes since the first are watched for.
      revision = Math.min(revision, listing.value.revision);
    }
    this.noteAnswered();
    for (const item of items) this.write(item);
    const found = new Set(items.map(({key}) => key));
    for (const key of [...this.revisions.keys()]) {
      if (!found.has(key)) this.remove(key, revision);
    }
    for (const section of sections) {
      const below = [...found].filter((key) => key.startsWith(section.prefix));
      section.listed?.(new Set(below), revision);
    }
    this.clearMs = sentMs;
    return {kind: 'at', revision};
  }

  private async watch(
    revision: number,
    signal: AbortSignal,
  ): Promise<MirrorStep> {
    const {clock, pace, log, sections} = this.sources;
    const sentMs = clock.nowMs();
    const waitMs = this.watchWaitMs;
    const waiting = new AbortController();
    const reply = await this.askWatch(revision, waitMs, signal, waiting);
    // Ended for a probe, which comes next.
    if (waiting.signal.aborted && !signal.aborted) {
      return {kind: 'at', revision};
    }
    this.isProbing = false;
    if (reply.kind !== 'ok') return {kind: 'failed', failure: reply};
    const {changes} = reply.value;
    logSlowAnswer(log, 'watch', changes.length, reply.value.transfer);
    this.noteAnswered();
    for (const change of changes) this.apply(change);
    for (const section of sections) {
      section.caughtUp?.(reply.value.revision, sentMs);
    }
    // A watch without a change was open all the while that it waited.
    const hasWaited = changes.length === 0 && clock.nowMs() >= sentMs + waitMs;
    this.clearMs = sentMs + (hasWaited ? waitMs : 0);
    if (changes.length > 0) {
      // Changes that come together are then one answer.
      await sleep(clock, pace.gatherMs, signal);
    }
    return {kind: 'at', revision: Math.max(revision, reply.value.revision)};
  }

  private async askWatch(
    revision: number,
    waitMs: number,
    signal: AbortSignal,
    waiting: AbortController,
  ): Promise<StoreReply<StoreChanges>> {
    const stop = (): void => waiting.abort();
    signal.addEventListener('abort', stop);
    this.waiting = waiting;
    const {store} = this.sources;
    const reply = await store.watch(
      this.watchedPrefix,
      revision,
      waitMs,
      waiting.signal,
    );
    this.waiting = undefined;
    signal.removeEventListener('abort', stop);
    return reply;
  }

  private apply(change: StoreChange): void {
    switch (change.kind) {
      case 'written':
        this.write(change.item);
        return;
      case 'deleted':
        if ((this.revisions.get(change.key) ?? 0) > change.revision) return;
        this.remove(change.key, change.revision);
        return;
      default:
        assertNever(change);
    }
  }

  private write(item: StoreItem): void {
    const section = this.sectionOf(item.key);
    if (section === undefined) return;
    if ((this.revisions.get(item.key) ?? 0) >= item.revision) return;
    this.revisions.set(item.key, item.revision);
    section.written(item, this.clearMs);
  }

  private remove(key: string, revision: number): void {
    if (!this.revisions.delete(key)) return;
    this.sectionOf(key)?.deleted(key, this.clearMs, revision);
  }

  private sectionOf(key: string): MirrorSection | undefined {
    return this.sources.sections.find(({prefix}) => key.startsWith(prefix));
  }

  /**
   * A call that was sent at `sentMs` failed. The first one since an answer may have
   * waited on a connection that had died; those after it are new.
   */
  private noteFailed(failure: StoreFailure, sentMs: number): void {
    const {clock, listener, log} = this.sources;
    if (this.lostSinceMs !== undefined) {
      // It may have met the end of the trouble, whenever its answer came.
      this.lastFailedMs = sentMs;
      return;
    }
    this.lostSinceMs = clock.nowMs();
    log.warn('store.lost', {cause: describeFailure(failure)});
    listener.lost();
  }

  /** The store answered with all that it had. */
  private noteAnswered(): void {
    const {clock, listener, log} = this.sources;
    const nowMs = clock.nowMs();
    if (this.lostSinceMs === undefined) return;
    const {lostSinceMs, lastFailedMs} = this;
    this.lostSinceMs = undefined;
    this.lastFailedMs = undefined;
    log.info('store.regained', {
      lostForMs: Math.round(nowMs - lostSinceMs),
      failedAgoMs: lastFailedMs && Math.round(nowMs - lastFailedMs),
    });
    listener.returned({atMs: nowMs, lastFailedMs});
  }
}

function commonPrefix(first: string, second: string): string {
  let length = 0;
  while (length < first.length && first[length] === second[length]) length++;
  return first.slice(0, length);
}

type MirrorStep =
  | {readonly kind: 'at'; readonly revision: number}
  | {readonly kind: 'failed'; readonly failure: StoreFailure};
