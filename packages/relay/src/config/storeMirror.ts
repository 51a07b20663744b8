import {hedgeRead} from '@lilacledge/policy';
import type {StoreReturn} from '@lilacledge/policy';
import {assertNever, backoffMs, sleep} from '@lilacledge/shared';
import type {Clock, Random} from '@lilacledge/shared';
import type {BodyTransfer} from '../http/callHttp.js';
import type {DecisionLogger} from '../log/boundedLog.js';
import type {
  MetadataStore,
  StoreChange,
  StoreFailure,
  StoreItem,
  StorePage,
  StoreReply,
} from '../ports.js';

/**
 * How long the first watch after an outage waits: as short as can be, since one
 * that is cut while it waits looks as if the store had not returned.
 */
const PROBE_WAIT_MS = 1;

/** Pause after a call that failed: short, as a bound runs from the return. */
const RETRY_BACKOFF = {firstMs: 60, maxMs: 800};

/**
 * A page that is not there by then is asked for again. The store answers in 4 ms,
 * and in a quarter of a second when it is slow; a silent one answers never.
 */
const LIST_HEDGE = {afterMs: 300, mostOpen: 4};

/** An answer whose body took longer than this from its head on is told of. */
const SLOW_TRANSFER_MS = 100;

/**
 * What is told of the items below one prefix. `madeMs` is the earliest time at which
 * a change can have been made: now, unless the mirror was behind.
 */
export interface MirrorSection {
  readonly prefix: string;
  written(item: StoreItem, madeMs: number): void;
  deleted(key: string, madeMs: number): void;
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
 * a watch is paid for, and counts against the rate that all processes share: a watch
 * for each prefix cost 2.2 calls a second and entry in a fleet of 68, while its
 * endpoints came and went.
 */
export class StoreMirror {
  private readonly revisions = new Map<string, number>();
  /** Begins all keys below the prefixes, and maybe others. */
  private readonly watchedPrefix: string;
  private lostSinceMs: number | undefined;
  /** When the store was last known to have failed a new call, since the loss. */
  private lastFailedMs: number | undefined;
  /** The time of the last answer. */
  private answeredAtMs: number;
  /** Since when changes may have been missed; undefined while none are. */
  private behindSinceMs: number | undefined;

  constructor(private readonly sources: MirrorSources) {
    this.answeredAtMs = sources.clock.nowMs();
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
        this.noteBehind();
        revision = undefined;
        continue;
      }
      this.noteFailed(step.failure, sentMs);
      const waitMs = backoffMs(RETRY_BACKOFF, failures++, random);
      await sleep(clock, waitMs, signal);
    }
  }

  private get watchWaitMs(): number {
    // After an outage the first answer must come at once, changes or none.
    if (this.lostSinceMs !== undefined) return PROBE_WAIT_MS;
    return this.sources.pace.waitMs;
  }

  /** Reads all items; what is no longer there counts as deleted. */
  private async list(): Promise<MirrorStep> {
    const {sections} = this.sources;
    const listings = await Promise.all(
      sections.map(({prefix}) => this.listBelow(prefix)),
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
      if (!found.has(key)) this.remove(key);
    }
    this.behindSinceMs = undefined;
    return {kind: 'at', revision};
  }

  /** All pages below a prefix, with the revision of the first. */
  private async listBelow(
    prefix: string,
  ): Promise<StoreReply<{items: StoreItem[]; revision: number}>> {
    const items: StoreItem[] = [];
    let afterKey: string | undefined;
    let revision: number | undefined;
    for (;;) {
      const reply = await this.page(prefix, afterKey);
      if (reply.kind !== 'ok') return reply;
      const {items: page, transfer} = reply.value;
      this.noteTransfer('list', page.length, transfer);
      revision ??= reply.value.revision;
      items.push(...page);
      afterKey = page.at(-1)?.key;
      if (!reply.value.hasMore || afterKey === undefined) break;
    }
    return {kind: 'ok', value: {items, revision}};
  }

  private page(
    prefix: string,
    afterKey?: string,
  ): Promise<StoreReply<StorePage>> {
    const {store, clock} = this.sources;
    return hedgeRead(
      () => store.list(prefix, afterKey),
      (reply) => reply.kind === 'ok',
      LIST_HEDGE,
      clock,
    );
  }

  private async watch(
    revision: number,
    signal: AbortSignal,
  ): Promise<MirrorStep> {
    const {store, clock, pace} = this.sources;
    const reply = await store.watch(
      this.watchedPrefix,
      revision,
      this.watchWaitMs,
      signal,
    );
    if (reply.kind !== 'ok') return {kind: 'failed', failure: reply};
    const {changes} = reply.value;
    this.noteTransfer('watch', changes.length, reply.value.transfer);
    this.noteAnswered();
    for (const change of changes) this.apply(change);
    this.behindSinceMs = undefined;
    if (changes.length > 0) {
      // Changes that come together are then one answer.
      await sleep(clock, pace.gatherMs, signal);
    }
    return {kind: 'at', revision: Math.max(revision, reply.value.revision)};
  }

  private apply(change: StoreChange): void {
    switch (change.kind) {
      case 'written':
        this.write(change.item);
        return;
      case 'deleted':
        this.remove(change.key, change.revision);
        return;
      default:
        assertNever(change);
    }
  }

  private get madeMs(): number {
    return this.behindSinceMs ?? this.sources.clock.nowMs();
  }

  private write(item: StoreItem): void {
    const section = this.sectionOf(item.key);
    if (section === undefined) return;
    if ((this.revisions.get(item.key) ?? 0) >= item.revision) return;
    this.revisions.set(item.key, item.revision);
    section.written(item, this.madeMs);
  }

  private remove(key: string, revision = Number.POSITIVE_INFINITY): void {
    const known = this.revisions.get(key);
    if (known === undefined || known > revision) return;
    this.revisions.delete(key);
    this.sectionOf(key)?.deleted(key, this.madeMs);
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
    this.noteBehind();
    if (this.lostSinceMs !== undefined) {
      // It may have met the end of the trouble, whenever its answer came.
      this.lastFailedMs = sentMs;
      return;
    }
    this.lostSinceMs = clock.nowMs();
    log.warn('store.lost', {cause: describeFailure(failure)});
    listener.lost();
  }

  private noteTransfer(
    call: 'watch' | 'list',
    items: number,
    {bytes, tookMs}: BodyTransfer,
  ): void {
    if (tookMs < SLOW_TRANSFER_MS) return;
    this.sources.log.info('store.slowAnswer', {
      call,
      items,
      bytes,
      tookMs: Math.round(tookMs),
    });
  }

  private noteBehind(): void {
    this.behindSinceMs ??= this.answeredAtMs;
  }

  /** The store answered with all that it had. */
  private noteAnswered(): void {
    const {clock, listener, log} = this.sources;
    const nowMs = clock.nowMs();
    this.answeredAtMs = nowMs;
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

/** One phrase for a log line. */
export function describeFailure(failure: StoreFailure): string {
  switch (failure.kind) {
    case 'refused':
      return `refused with status ${failure.status}`;
    case 'unanswered':
      return `no answer: ${failure.detail}`;
    case 'compacted':
    case 'missing':
    case 'conflict':
      return failure.kind;
    default:
      return assertNever(failure);
  }
}
