import {readAfter} from '@lilacledge/policy';
import type {BulkAnswer, NextRead} from '@lilacledge/policy';
import {assertNever, backoffMs, sleep} from '@lilacledge/shared';
import type {Clock, Random} from '@lilacledge/shared';
import type {DecisionLogger} from '../log/boundedLog.js';
import type {
  MetadataStore,
  StoreChange,
  StoreFailure,
  StoreItem,
} from '../ports.js';
import {Gate} from './gate.js';
import type {MirrorSection} from './storeMirror.js';
import {describeFailure, listBelow, logSlowAnswer} from './storeReads.js';

/** Pause after a call that failed: short, as a bound runs from the return. */
const RETRY_BACKOFF = {firstMs: 60, maxMs: 800};

/** A large version is whole by then, on half of a link of 10 Mbit/s. */
const ON_ITS_WAY_MS = 700;

/** What a follower is made from. */
export interface ConfigFollowing {
  readonly key: string;
  readonly store: MetadataStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: DecisionLogger;
  /** How long one watch waits; a dead connection is noticed soon after. */
  waitMs(): number;
  /** Longest time until a new version is in force. */
  applyBoundMs(): number;
  /** The store holds a version that was not known. */
  written(value: Buffer): void;
  deleted(): void;
  /** A call failed: the store may be away. */
  failed(): void;
  /**
   * What else is followed with the same calls; `commonPrefix` begins its keys and that
   * of the configuration, and no others.
   */
  readonly beside?: {
    readonly commonPrefix: string;
    readonly section: MirrorSection;
  };
}

/** What one call brought. */
type FollowStep =
  | ({readonly kind: 'answered'} & BulkAnswer)
  | {readonly kind: 'failed'; readonly failure: StoreFailure};

/**
 * Follows the one item that holds the configuration, with calls of its own. It may
 * have a megabyte, and what else the store tells is bound in time: in one answer with
 * it, registrations came seconds late on a small link. What stands beside it here may
 * be as late as a configuration may be, and saves a watch: 0.42 calls a second and entry.
 */
export class ConfigFollower {
  /** Where the next watch goes on. */
  private revision = 0;
  /** Of the version that was told of last. */
  private takenRevision = 0;
  private callCount = 0;
  private readonly gate = new Gate();
  /** All that the store had at this time is known; at first nothing is. */
  private clearMs = Number.NEGATIVE_INFINITY;
  private readonly prefix: string;

  constructor(private readonly following: ConfigFollowing) {
    this.prefix = following.beside?.commonPrefix ?? following.key;
  }

  /** The store is away: no call is made until `release`. */
  hold(): void {
    this.gate.close();
  }

  release(): void {
    this.gate.open();
  }

  /**
   * A peer had a version that the open call has not brought: unless an answer is on its
   * way and comes soon, the call is dead.
   */
  noteOvertaken(): void {
    const {callCount} = this;
    this.following.clock.after(ON_ITS_WAY_MS, () => {
      if (this.callCount !== callCount || this.gate.isClosed) return;
      this.gate.close();
      this.gate.open();
    });
  }

  /** Runs until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, random, applyBoundMs} = this.following;
    signal.addEventListener('abort', () => this.gate.close());
    let next: NextRead = {kind: 'newest', pauseMs: 0};
    let failures = 0;
    while (!signal.aborted) {
      await this.gate.passed();
      const passed = this.gate.signal;
      const sentMs = clock.nowMs();
      this.callCount++;
      const step = await this.read(next, passed);
      if (step.kind === 'answered') {
        failures = 0;
        next = readAfter(step, applyBoundMs());
        continue;
      }
      // A call that was ended from here says nothing of the store.
      if (passed.aborted) continue;
      next = this.readAfterFailure(step.failure, clock.nowMs() - sentMs, next);
      await sleep(clock, backoffMs(RETRY_BACKOFF, failures++, random), signal);
    }
  }

  private read(next: NextRead, signal: AbortSignal): Promise<FollowStep> {
    switch (next.kind) {
      case 'watch':
        return this.watch(signal);
      case 'newest':
        return this.readNewest(next.pauseMs, signal);
      default:
        return assertNever(next);
    }
  }

  private readAfterFailure(
    failure: StoreFailure,
    tookMs: number,
    last: NextRead,
  ): NextRead {
    const {log, failed, waitMs} = this.following;
    log.info('config.unread', {
      cause: describeFailure(failure),
      tookMs: Math.round(tookMs),
    });
    if (failure.kind !== 'compacted') failed();
    // A watch that was due had more to bring than came: the newest is less.
    const wasDue = failure.kind === 'compacted' || tookMs > waitMs();
    return wasDue ? {kind: 'newest', pauseMs: 0} : last;
  }

  private async watch(signal: AbortSignal): Promise<FollowStep> {
    const {store, clock, log, key, waitMs} = this.following;
    const sentMs = clock.nowMs();
    const waitedMs = waitMs();
    const {prefix} = this;
    const reply = await store.watch(prefix, this.revision, waitedMs, signal);
    if (reply.kind !== 'ok') return {kind: 'failed', failure: reply};
    const {changes, revision, transfer} = reply.value;
    logSlowAnswer(log, 'watch', changes.length, transfer);
    this.tellBeside(changes, revision, sentMs);
    const own = changes.filter((change) => keyOf(change) === key);
    const newest = own.at(-1);
    if (newest?.kind === 'written') this.take(newest.item);
    if (newest?.kind === 'deleted') this.following.deleted();
    this.revision = Math.max(this.revision, revision);
    // A watch without a change was open all the while that it waited.
    const hasWaited =
      changes.length === 0 && clock.nowMs() >= sentMs + waitedMs;
    this.clearMs = sentMs + (hasWaited ? waitedMs : 0);
    return {
      kind: 'answered',
      tookMs: transfer.tookMs,
      isNew: newest !== undefined,
    };
  }

  private async readNewest(
    pauseMs: number,
    signal: AbortSignal,
  ): Promise<FollowStep> {
    const {store, clock, log, key} = this.following;
    await sleep(clock, pauseMs, signal);
    const sentMs = clock.nowMs();
    const reply = await listBelow(store, clock, log, this.prefix);
    if (reply.kind !== 'ok') return {kind: 'failed', failure: reply};
    const {items, revision, transfer} = reply.value;
    this.tellListed(items, revision);
    this.clearMs = sentMs;
    const item = items.find((listed) => listed.key === key);
    const isNew = item !== undefined && item.revision > this.takenRevision;
    if (isNew) this.take(item);
    this.revision = Math.max(this.revision, revision);
    return {kind: 'answered', tookMs: transfer.tookMs, isNew};
  }

  private tellBeside(
    changes: readonly StoreChange[],
    revision: number,
    sentMs: number,
  ): void {
    const section = this.following.beside?.section;
    if (section === undefined) return;
    for (const change of changes) {
      if (!keyOf(change).startsWith(section.prefix)) continue;
      if (change.kind === 'written') section.written(change.item, this.clearMs);
      else section.deleted(change.key, this.clearMs, change.revision);
    }
    section.caughtUp?.(revision, sentMs);
  }

  private tellListed(items: readonly StoreItem[], revision: number): void {
    const section = this.following.beside?.section;
    if (section === undefined) return;
    const below = items.filter(({key}) => key.startsWith(section.prefix));
    for (const item of below) section.written(item, this.clearMs);
    section.listed?.(new Set(below.map(({key}) => key)), revision);
  }

  private take({value, revision}: StoreItem): void {
    this.takenRevision = revision;
    this.following.written(value);
  }
}

function keyOf(change: StoreChange): string {
  return change.kind === 'written' ? change.item.key : change.key;
}
