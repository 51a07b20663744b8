import {
  Announcement,
  chooseNextRead,
  watchAfterPauseMs,
} from '@lilacledge/policy';
import type {BulkAnswer, NextRead} from '@lilacledge/policy';
import {assertNever, backoffMs, sleep} from '@lilacledge/shared';
import type {BodyTransfer} from '../http/callHttp.js';
import type {StoreFailure, StoreItem} from '../ports.js';
import type {ConfigWatcherOptions} from './configWatcherOptions.js';
import {Gate} from './gate.js';
import {awaitPeerCopy} from './peerCopyWait.js';
import {keyOf, SharedPrefix} from './sharedPrefix.js';
import {
  describeStoreFailure,
  listAllPages,
  logSlowResponse,
  logUnreadable,
} from './storeReads.js';

/** Backoff after a failed call. Short, since deadlines run from the store's recovery. */
const RETRY_BACKOFF = {firstMs: 60, maxMs: 800};

/** Time without progress after which a call counts as stalled, once a peer had more. */
const STALLED_CALL_TIMEOUT_MS = 700;

/** What a response tells besides its items. */
interface ResponseSummary {
  /** All changes up to it are known now. */
  readonly revision: number;
  /** When the response began. */
  readonly headMs: number;
  readonly transfer: BodyTransfer;
}

/** Outcome of one call. */
type WatcherStep =
  | ({readonly kind: 'answered'} & BulkAnswer)
  | {readonly kind: 'failed'; readonly failure: StoreFailure};

/**
 * Watches the item that holds the configuration, apart from other watches. It may be as
 * large as a megabyte, and other changes have deadlines: in one response with it,
 * registrations arrived seconds late on a slow link. The prefix of `sharedWatch` may be as
 * late as a configuration, and sharing saves a watch: 0.42 calls per second and entry.
 */
export class ConfigWatcher {
  /** Revision after which the next watch starts. */
  private revision = 0;
  /** Revision of the version that was delivered last. */
  private deliveredRevision = 0;
  private callCount = 0;
  /** When the last response with a new version began. */
  private newestHeadMs = Number.NEGATIVE_INFINITY;
  /** True if the last response had a new version. */
  private wasNew = false;
  /** When the last call was answered; undefined after one that wasn't. */
  private answeredMs: number | undefined;
  private readonly gate = new Gate();
  private isPaused = false;
  /** When the response of the current call last progressed; undefined if none is arriving. */
  private progressMs: number | undefined;
  /** All changes that the store had at this time are known; initially none. */
  private asOfMs = Number.NEGATIVE_INFINITY;
  private readonly prefix: string;
  private readonly shared: SharedPrefix;

  constructor(private readonly options: ConfigWatcherOptions) {
    this.prefix = options.sharedWatch?.commonPrefix ?? options.key;
    this.shared = new SharedPrefix(options.key, options.sharedWatch?.handler);
  }

  /**
   * The store is unavailable: makes no call until `resume`. A call in flight is aborted
   * unless its response is arriving.
   */
  pause(): void {
    this.isPaused = true;
    if (!this.isReceiving) this.gate.close();
  }

  resume(): void {
    this.isPaused = false;
    this.gate.open();
  }

  /**
   * A peer had a version that the call in flight has not returned. Unless the call ends or
   * progresses soon, its connection is considered dead and it is made again.
   */
  noteNewerAtPeer(): void {
    const {callCount} = this;
    this.options.clock.after(STALLED_CALL_TIMEOUT_MS, () => {
      if (this.callCount !== callCount || this.gate.isClosed) return;
      if (this.isReceiving) {
        this.noteNewerAtPeer();
        return;
      }
      this.gate.close();
      this.gate.open();
    });
  }

  /** Runs until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, random, applyBoundMs} = this.options;
    signal.addEventListener('abort', () => this.gate.close());
    let next: NextRead = {kind: 'newest', pauseMs: 0};
    let failures = 0;
    while (!signal.aborted) {
      if (this.isPaused) this.gate.close();
      await this.gate.whenOpen();
      const waitedMs = await awaitPeerCopy(this.options, signal);
      if (this.gate.isClosed) continue;
      const callSignal = this.gate.signal;
      const sentMs = clock.nowMs();
      this.callCount++;
      const step = await this.read(next, waitedMs, callSignal);
      this.noteProgress(undefined);
      const isAnswered = step.kind === 'answered';
      this.answeredMs = isAnswered ? clock.nowMs() : undefined;
      if (isAnswered) {
        failures = 0;
        next = chooseNextRead(step, applyBoundMs());
        continue;
      }
      const tookMs = clock.nowMs() - sentMs;
      // A call that was aborted locally is no evidence about the store.
      if (callSignal.aborted) {
        this.logAborted(tookMs);
        // A watch would return every version since.
        if (this.options.announced() === Announcement.NEWER) {
          next = {kind: 'newest', pauseMs: 0};
        }
        continue;
      }
      next = this.readAfterFailure(step.failure, tookMs, next);
      await sleep(clock, backoffMs(RETRY_BACKOFF, failures++, random), signal);
    }
  }

  private read(
    next: NextRead,
    waitedMs: number,
    signal: AbortSignal,
  ): Promise<WatcherStep> {
    switch (next.kind) {
      case 'watch':
        return this.watch(signal);
      case 'newest':
        // Both after one another would leave too little of the bound for the transfer.
        return this.readNewest(Math.max(0, next.pauseMs - waitedMs), signal);
      default:
        return assertNever(next);
    }
  }

  /** True while a response arrives without a stall. */
  private get isReceiving(): boolean {
    if (this.progressMs === undefined) return false;
    const idleMs = this.options.clock.nowMs() - this.progressMs;
    return idleMs < STALLED_CALL_TIMEOUT_MS;
  }

  private noteProgress(atMs: number | undefined): void {
    this.progressMs = atMs;
    this.options.progressed(atMs);
  }

  /** Creates a listener for the progress of the current call alone. */
  private progressListener(): () => void {
    const {callCount} = this;
    return () => {
      if (this.callCount !== callCount) return;
      this.noteProgress(this.options.clock.nowMs());
    };
  }

  private readAfterFailure(
    failure: StoreFailure,
    tookMs: number,
    last: NextRead,
  ): NextRead {
    const {log, failed, waitMs} = this.options;
    log.info('config.unread', {
      cause: describeStoreFailure(failure),
      tookMs: Math.round(tookMs),
      afterRevision: this.revision,
    });
    if (failure.kind !== 'compacted') failed();
    // An overdue watch had a response that did not finish: the newest version is smaller.
    const wasOverdue = failure.kind === 'compacted' || tookMs > waitMs();
    return wasOverdue ? {kind: 'newest', pauseMs: 0} : last;
  }

  private logAborted(tookMs: number): void {
    this.options.log.info('config.aborted', {
      tookMs: Math.round(tookMs),
      afterRevision: this.revision,
    });
  }

  private async watch(signal: AbortSignal): Promise<WatcherStep> {
    const {store, clock, log, key, waitMs} = this.options;
    const sentMs = clock.nowMs();
    const pausedMs = sentMs - (this.answeredMs ?? sentMs);
    const maxWaitMs = watchAfterPauseMs(waitMs(), pausedMs);
    const {prefix} = this;
    const reply = await store.watch(
      prefix,
      this.revision,
      maxWaitMs,
      signal,
      this.progressListener(),
    );
    if (reply.kind !== 'ok') return {kind: 'failed', failure: reply};
    const {changes, revision, transfer} = reply.value;
    const headMs = clock.nowMs() - transfer.tookMs;
    logSlowResponse(log, 'watch', changes.length, transfer);
    logUnreadable(log, 'watch', reply.value.unreadable);
    this.shared.deliverChanges(changes, revision, this.asOfMs, sentMs);
    const own = changes.filter((change) => keyOf(change) === key);
    const newest = own.at(-1);
    if (newest?.kind === 'written') this.deliver(newest.item);
    if (newest?.kind === 'deleted') this.options.deleted();
    // A watch that ended without changes saw all changes until its end.
    const hasWaited =
      changes.length === 0 && clock.nowMs() >= sentMs + maxWaitMs;
    this.asOfMs = sentMs + (hasWaited ? maxWaitMs : 0);
    const isNew = newest !== undefined;
    return this.answered({revision, headMs, transfer}, isNew, own.length > 1);
  }

  private async readNewest(
    pauseMs: number,
    signal: AbortSignal,
  ): Promise<WatcherStep> {
    const {clock, log} = this.options;
    await sleep(clock, pauseMs, signal);
    const sentMs = clock.nowMs();
    // Its response begins soon: a peer that is asked at this moment would share the link with it.
    this.options.progressed(sentMs);
    const reply = await listAllPages(
      this.options,
      this.prefix,
      (listed) => this.shared.keep(listed),
      this.progressListener(),
    );
    if (reply.kind !== 'ok') return {kind: 'failed', failure: reply};
    const {kept, keys, revision, transfer} = reply.value;
    const headMs = clock.nowMs() - transfer.tookMs;
    this.shared.deliverList(kept, keys, revision, this.asOfMs);
    this.asOfMs = sentMs;
    const item = kept.find((part) => part.kind === 'config')?.item;
    const isNew = item !== undefined && item.revision > this.deliveredRevision;
    log.info('config.read', {
      revision,
      writtenRevision: item?.revision,
      afterRevision: this.revision,
      deliveredRevision: this.deliveredRevision,
      isNew,
    });
    if (isNew) this.deliver(item);
    return this.answered({revision, headMs, transfer}, isNew, this.wasNew);
  }

  /** The step after a response; `isSeries` if its version may have followed at once. */
  private answered(
    {revision, headMs, transfer: {tookMs}}: ResponseSummary,
    isNew: boolean,
    isSeries: boolean,
  ): WatcherStep {
    const gapMs = isSeries ? 0 : headMs - this.newestHeadMs;
    // The version that is read first may have been written long ago.
    this.wasNew = isNew && this.revision > 0;
    if (this.wasNew) this.newestHeadMs = headMs;
    this.revision = revision;
    const announced = this.options.announced();
    return {kind: 'answered', tookMs, isNew, announced, gapMs};
  }

  private deliver({value, revision}: StoreItem): void {
    this.deliveredRevision = revision;
    this.options.written(value);
  }
}
