import {createHash} from 'node:crypto';
import {OverdueWatches} from '@lilacledge/policy';
import type {StoreRecovery} from '@lilacledge/policy';
import {assertNever, backoffMs, sleep} from '@lilacledge/shared';
import type {Clock, Random} from '@lilacledge/shared';
import type {Logger} from '../log/boundedLog.js';
import {isSameEra} from '../model/index.js';
import type {
  MetadataStore,
  StoreChange,
  StoreChanges,
  StoreFailure,
  StoreItem,
  StoreReply,
} from '../ports.js';
import {
  describeStoreFailure,
  listAllPages,
  logSlowResponse,
  logUnreadable,
} from './storeReads.js';

/**
 * How long a watch waits while the store is unavailable or probed. As short as possible:
 * a watch that is cut while it waits looks as if the store were still unavailable.
 */
const PROBE_WAIT_MS = 1;

/** Backoff after a failed call. Short, since deadlines run from the store's recovery. */
const RETRY_BACKOFF = {firstMs: 60, maxMs: 800};

/** Shortest time between two lines about calls that go on failing. */
const FAILING_LOG_INTERVAL_MS = 5_000;

/** Applies an item that was read. */
export type ApplyItem = (unchangedAtMs: number) => void;

/**
 * Handles changes of the items below one prefix. `unchangedAtMs` is the latest time at
 * which the store is known not to have had the change yet: a change may take long to
 * arrive.
 */
export interface PrefixHandler {
  readonly prefix: string;
  /**
   * Reads an item that was written, without an effect before the result is called. A list
   * holds the result until its last page is read, so it must not refer to the item's value.
   */
  read(item: StoreItem): ApplyItem;
  deleted(key: string, unchangedAtMs: number, revision: number): void;
  /** All changes up to a revision were delivered, by a call sent at `sentMs`. */
  caughtUp?(revision: number, sentMs: number): void;
  /**
   * The prefix was read completely at a revision; only these keys exist below it. A handler
   * with this method gets no `deleted` for keys that the read lacks.
   */
  listed?(keys: ReadonlySet<string>, revision: number): void;
}

/** Handles changes of the store's availability to this process. */
export interface StoreAvailabilityListener {
  /** The store answers again. Called before the changes made meanwhile are delivered. */
  becameAvailable(recovery: StoreRecovery): void;
  /** A call to the store failed. */
  becameUnavailable(): void;
}

/** Timing of a watcher's calls. */
export interface WatchTiming {
  /** How long one watch waits; a dead connection is detected soon after this time. */
  readonly waitMs: number;
  /** Pause after changes, so that the next watch returns further changes in one batch. */
  readonly batchDelayMs: number;
}

export interface StoreWatcherOptions {
  readonly handlers: readonly PrefixHandler[];
  readonly store: MetadataStore;
  readonly listener: StoreAvailabilityListener;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly timing: WatchTiming;
}

/**
 * Watches the items below several prefixes of the store with one long poll: each
 * response costs money and counts against the rate limit that all processes share.
 */
export class StoreWatcher {
  /** The known items, by key. */
  private readonly known = new Map<string, KnownItem>();
  /** Common prefix of all handlers; other keys may share it. */
  private readonly watchedPrefix: string;
  /** When the store became unavailable; undefined while it answers. */
  private unavailableSinceMs: number | undefined;
  /**
   * When the last failed call was sent, not counting the first since the store was
   * available.
   */
  private lastFailedMs: number | undefined;
  /** Failed calls since the store became unavailable. */
  private failures = 0;
  /** When a line about failed calls was last logged, since the store became unavailable. */
  private failureLoggedMs = Number.NEGATIVE_INFINITY;
  /** All changes that the store had at this time are known; initially none. */
  private asOfMs = Number.NEGATIVE_INFINITY;
  /** Aborts the watch that is waiting for changes, for a probe. */
  private waiting: AbortController | undefined;
  /** True from a call to `probe` until the watch that it causes ends. */
  private isProbing = false;

  constructor(private readonly options: StoreWatcherOptions) {
    const prefixes = options.handlers.map(({prefix}) => prefix);
    this.watchedPrefix = prefixes.reduce(commonPrefix);
  }

  /** Runs until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, log, random} = this.options;
    this.unavailableSinceMs = clock.nowMs();
    let failures = 0;
    const overdue = new OverdueWatches();
    let revision: number | undefined;
    while (!signal.aborted) {
      const sentMs = clock.nowMs();
      const {watchWaitMs} = this;
      const watchedFrom: number | undefined = overdue.mustList
        ? undefined
        : revision;
      const step: WatcherStep =
        watchedFrom === undefined
          ? await this.list()
          : await this.watch(watchedFrom, signal);
      if (step.kind === 'synced') {
        failures = 0;
        overdue.reset();
        revision = step.revision;
        continue;
      }
      if (signal.aborted) return;
      if (step.failure.kind === 'compacted') {
        const {detail} = step.failure;
        log.warn('store.compacted', {revision, detail});
        revision = undefined;
        continue;
      }
      if (watchedFrom === undefined) overdue.reset();
      else overdue.noteFailed(clock.nowMs() - sentMs, watchWaitMs);
      this.noteFailed(step.failure, sentMs);
      const waitMs = backoffMs(RETRY_BACKOFF, failures++, random);
      await sleep(clock, waitMs, signal);
    }
  }

  /** Checks at once whether the store answers, since another call to it failed. */
  probe(): void {
    this.isProbing = true;
    this.waiting?.abort();
  }

  private get watchWaitMs(): number {
    // The first response after an outage must not wait for changes.
    const isUnavailable = this.unavailableSinceMs !== undefined;
    return isUnavailable || this.isProbing
      ? PROBE_WAIT_MS
      : this.options.timing.waitMs;
  }

  /** Reads all items; known items that are missing count as deleted. */
  private async list(): Promise<WatcherStep> {
    const {handlers: handlers, store, clock, log} = this.options;
    const sentMs = clock.nowMs();
    const listings = await Promise.all(
      handlers.map(({prefix}) =>
        listAllPages({store, clock, log}, prefix, (item) => this.read(item)),
      ),
    );
    const items: ReadItem[] = [];
    const found = new Set<string>();
    let revision = Number.POSITIVE_INFINITY;
    for (const listing of listings) {
      if (listing.kind !== 'ok') return {kind: 'failed', failure: listing};
      items.push(...listing.value.kept);
      for (const key of listing.value.keys) found.add(key);
      // Listings are not a snapshot: the watch starts at the oldest of their revisions.
      revision = Math.min(revision, listing.value.revision);
    }
    if (!items.every((item) => isSameEra(item.revision, revision))) {
      return {kind: 'failed', failure: {kind: 'compacted'}};
    }
    this.noteAvailable();
    for (const item of items) this.write(item);
    for (const key of [...this.known.keys()]) {
      if (!found.has(key)) this.removeMissing(key, revision);
    }
    for (const handler of handlers) {
      const below = [...found].filter((key) => key.startsWith(handler.prefix));
      handler.listed?.(new Set(below), revision);
    }
    this.asOfMs = sentMs;
    return {kind: 'synced', revision};
  }

  private async watch(
    revision: number,
    signal: AbortSignal,
  ): Promise<WatcherStep> {
    const {clock, timing: timing, log, handlers: handlers} = this.options;
    const sentMs = clock.nowMs();
    const waitMs = this.watchWaitMs;
    const aborter = new AbortController();
    const reply = await this.sendWatch(revision, waitMs, signal, aborter);
    // Aborted by `probe`: the next watch is the probe.
    if (aborter.signal.aborted && !signal.aborted) {
      return {kind: 'synced', revision};
    }
    this.isProbing = false;
    if (reply.kind !== 'ok') return {kind: 'failed', failure: reply};
    const {changes} = reply.value;
    logSlowResponse(log, 'watch', changes.length, reply.value.transfer);
    logUnreadable(log, 'watch', reply.value.unreadable);
    this.noteAvailable();
    for (const change of changes) this.apply(change);
    for (const handler of handlers) {
      handler.caughtUp?.(reply.value.revision, sentMs);
    }
    // A watch that ended without changes saw all changes until its end.
    const hasWaited = changes.length === 0 && clock.nowMs() >= sentMs + waitMs;
    this.asOfMs = sentMs + (hasWaited ? waitMs : 0);
    if (changes.length > 0) {
      // Changes that are made meanwhile arrive in one response.
      await sleep(clock, timing.batchDelayMs, signal);
    }
    return {kind: 'synced', revision: reply.value.revision};
  }

  private async sendWatch(
    revision: number,
    waitMs: number,
    signal: AbortSignal,
    aborter: AbortController,
  ): Promise<StoreReply<StoreChanges>> {
    const stop = (): void => aborter.abort();
    signal.addEventListener('abort', stop);
    this.waiting = aborter;
    const {store} = this.options;
    const reply = await store.watch(
      this.watchedPrefix,
      revision,
      waitMs,
      aborter.signal,
    );
    this.waiting = undefined;
    signal.removeEventListener('abort', stop);
    return reply;
  }

  private apply(change: StoreChange): void {
    switch (change.kind) {
      case 'written':
        this.write(this.read(change.item));
        return;
      case 'deleted':
        if (this.knownRevision(change.key) > change.revision) return;
        this.remove(change.key, change.revision);
        return;
      default:
        assertNever(change);
    }
  }

  /** Reads an item unless it is known. */
  private read(item: StoreItem): ReadItem {
    const {key, revision} = item;
    const handler = this.handlerOf(key);
    if (handler === undefined || this.knownRevision(key) >= revision) {
      return {key, revision};
    }
    const {value} = item;
    const change = {digest: digestOf(value), apply: handler.read(item)};
    return {key, revision, change};
  }

  private write({key, revision, change}: ReadItem): void {
    if (change === undefined || this.knownRevision(key) >= revision) return;
    const known = this.known.get(key);
    const latest = {revision, digest: change.digest};
    this.known.set(key, latest);
    if (known !== undefined && isOnlyRestored(known, latest)) return;
    change.apply(this.asOfMs);
  }

  private knownRevision(key: string): number {
    return this.known.get(key)?.revision ?? Number.NEGATIVE_INFINITY;
  }

  private remove(key: string, revision: number): void {
    if (!this.known.delete(key)) return;
    this.handlerOf(key)?.deleted(key, this.asOfMs, revision);
  }

  private removeMissing(key: string, revision: number): void {
    if (this.handlerOf(key)?.listed === undefined) this.remove(key, revision);
    else this.known.delete(key);
  }

  private handlerOf(key: string): PrefixHandler | undefined {
    return this.options.handlers.find(({prefix}) => key.startsWith(prefix));
  }

  /**
   * Records a failed call that was sent at `sentMs`. The first failure may come from a
   * connection that had died earlier; later calls use new connections.
   */
  private noteFailed(failure: StoreFailure, sentMs: number): void {
    const {clock, listener, log} = this.options;
    this.failures++;
    if (this.unavailableSinceMs !== undefined) {
      // The time of sending, as the store may have recovered before the call failed.
      this.lastFailedMs = sentMs;
      this.logFailing(failure, this.unavailableSinceMs);
      return;
    }
    this.unavailableSinceMs = clock.nowMs();
    this.failureLoggedMs = this.unavailableSinceMs;
    log.warn('store.lost', {cause: describeStoreFailure(failure)});
    listener.becameUnavailable();
  }

  /** A process that can't start says why, since it never had the store to lose. */
  private logFailing(failure: StoreFailure, sinceMs: number): void {
    const {clock, log} = this.options;
    const nowMs = clock.nowMs();
    if (nowMs - this.failureLoggedMs < FAILING_LOG_INTERVAL_MS) return;
    this.failureLoggedMs = nowMs;
    log.warn('store.failing', {
      cause: describeStoreFailure(failure),
      failures: this.failures,
      forMs: Math.round(nowMs - sinceMs),
    });
  }

  /** Records a successful response. */
  private noteAvailable(): void {
    const {clock, listener, log} = this.options;
    const nowMs = clock.nowMs();
    if (this.unavailableSinceMs === undefined) return;
    const {unavailableSinceMs, lastFailedMs} = this;
    this.unavailableSinceMs = undefined;
    this.lastFailedMs = undefined;
    this.failures = 0;
    this.failureLoggedMs = Number.NEGATIVE_INFINITY;
    log.info('store.regained', {
      lostForMs: Math.round(nowMs - unavailableSinceMs),
      failedAgoMs: lastFailedMs && Math.round(nowMs - lastFailedMs),
    });
    listener.becameAvailable({atMs: nowMs, lastFailedMs});
  }
}

/** What is remembered of an item. */
interface KnownItem {
  readonly revision: number;
  /** Stands for the value, which may be long. */
  readonly digest: string;
}

/** What is held of an item until a list is complete. */
interface ReadItem {
  readonly key: string;
  readonly revision: number;
  /** Undefined if the item is known, or nobody handles it. */
  readonly change?: {readonly digest: string; readonly apply: ApplyItem};
}

function digestOf(value: Buffer): string {
  return createHash('sha256').update(value).digest('base64');
}

/** True if the item has another revision only because the store was restored. */
function isOnlyRestored(known: KnownItem, item: KnownItem): boolean {
  return (
    !isSameEra(known.revision, item.revision) && known.digest === item.digest
  );
}

function commonPrefix(first: string, second: string): string {
  let length = 0;
  while (length < first.length && first[length] === second[length]) length++;
  return first.slice(0, length);
}

type WatcherStep =
  | {readonly kind: 'synced'; readonly revision: number}
  | {readonly kind: 'failed'; readonly failure: StoreFailure};
