import type {Clock} from '@lilacledge/shared';
import {RetryCounts} from './retryCounts.js';
import type {RetryCountBucket} from './retryCounts.js';

/** Share of the allowance that retries use, as reports between entries arrive with delay. */
const RETRY_SHARE = 0.85;

/** The same for continued generations, as a started stream is lost without its continuation. */
const CONTINUATION_SHARE = 0.95;

/** Time from taking a retry to its arrival; the maximum time to connect. */
const ARRIVAL_MARGIN_MS = 250;

/** Allowance of retries for all entries together. */
export interface RetryAllowance {
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  /** Retries allowed in a window regardless of requests, over all entries. */
  readonly retrySlack: number;
}

/** What a budget needs to know about this entry and the others. */
export interface BudgetSharing {
  /** ID of the incarnation of this process. */
  readonly life: string;
  /** False while prior incarnations of this entry may have taken retries unknown here. */
  isPriorUseKnown(): boolean;
  /** Records the number of entries that are seen now. */
  noteEntryCount(): void;
  /** The highest number of entries seen in the window. */
  entryCount(): number;
  /** Entries that currently report their use to this one. */
  reportingEntries(): readonly string[];
}

/** How long a retry counts. */
export function retryRetentionMs({retryWindowMs}: RetryAllowance): number {
  return retryWindowMs + ARRIVAL_MARGIN_MS;
}

/**
 * This entry's share of the retry budget of one service: a ratio of its requests, and an equal
 * share of the slack, so that no coordination is needed.
 *
 * Prevents retry storms even if entries restart during one: the share belongs to the entry and
 * not to the incarnation of its process. Requests and retries of prior incarnations count as
 * the other entries report them, and until they have reported, nothing is retried.
 */
export class SharedRetryBudget {
  private readonly ownCounts: RetryCounts;
  /** Counts of other entries by name. */
  private readonly peerCounts = new Map<string, RetryCounts>();

  constructor(
    private readonly allowance: RetryAllowance,
    private readonly sharing: BudgetSharing,
    private readonly clock: Pick<Clock, 'nowMs'>,
    /** Called with the changed buckets before a retry is sent. */
    private readonly onRetryTaken: (
      parts: readonly RetryCountBucket[],
    ) => void = () => {},
  ) {
    this.ownCounts = this.newCounts();
  }

  noteRequest(): void {
    this.sharing.noteEntryCount();
    this.ownCounts.noteRequest(this.sharing.life, this.clock.nowMs());
  }

  /** Whether a retry could be taken. */
  get hasCapacity(): boolean {
    return this.used + 1 <= this.allowed;
  }

  /** Takes one retry from the budget; false if it is exhausted. */
  tryTake(): boolean {
    return this.hasCapacity && this.takeRetry();
  }

  /**
   * Takes the send that continues a generation at another endpoint, without which a started
   * stream is lost. Unlike retries it is allowed while no other entry receives reports, and
   * may also use what reporting entries have left of their shares.
   */
  tryContinue(): boolean {
    const isOwn = this.used + 1 <= this.earnedRetries + this.ownSlack;
    return (isOwn || this.hasSharedCapacity) && this.takeRetry();
  }

  get used(): number {
    return this.ownCounts.repeats(this.clock.nowMs());
  }

  /** Requests that earn retries at present. */
  get requests(): number {
    return this.ownCounts.requests(this.clock.nowMs());
  }

  /** Retries allowed at present. */
  get allowed(): number {
    if (!this.sharing.isPriorUseKnown()) return 0;
    return this.earnedRetries + (this.isReported ? this.ownSlack : 0);
  }

  /** Buckets of this entry over all its incarnations. */
  get ownBuckets(): RetryCountBucket[] {
    return this.ownCounts.all(this.clock.nowMs());
  }

  /** Buckets that another entry reported. */
  bucketsOf(instance: string): RetryCountBucket[] {
    return this.peerCounts.get(instance)?.all(this.clock.nowMs()) ?? [];
  }

  /** Merges reports of prior incarnations of this entry; false if nothing is new. */
  mergePriorUse(parts: readonly RetryCountBucket[]): boolean {
    return this.ownCounts.merge(parts, this.clock.nowMs());
  }

  /** Merges the reported buckets of another entry. */
  mergePeerUse(instance: string, parts: readonly RetryCountBucket[]): void {
    const known = this.peerCounts.get(instance) ?? this.newCounts();
    this.peerCounts.set(instance, known);
    known.merge(parts, this.clock.nowMs());
  }

  /** Drops the counts of an entry, none of which matter any more. */
  forgetPeer(instance: string): void {
    this.peerCounts.delete(instance);
  }

  private newCounts(): RetryCounts {
    return new RetryCounts({
      requestsMs: () => this.allowance.retryWindowMs,
      retriesMs: () => retryRetentionMs(this.allowance),
    });
  }

  private takeRetry(): true {
    const nowMs = this.clock.nowMs();
    this.ownCounts.noteRetry(this.sharing.life, nowMs);
    this.onRetryTaken(this.ownCounts.takeUnreported(nowMs));
    return true;
  }

  /** Whether reports reach another entry: the next incarnation would reuse unreported retries. */
  private get isReported(): boolean {
    const {sharing} = this;
    return sharing.entryCount() === 1 || sharing.reportingEntries().length > 0;
  }

  /** Retries allowed by the requests of this entry. */
  private get earnedRetries(): number {
    return this.earnedRetriesFor(this.requests);
  }

  private get ownSlack(): number {
    if (!this.sharing.isPriorUseKnown()) return 0;
    const {retrySlack} = this.allowance;
    return (retrySlack / this.sharing.entryCount()) * RETRY_SHARE;
  }

  /** Whether this entry and the reporting entries together have capacity left. */
  private get hasSharedCapacity(): boolean {
    const {allowance, sharing} = this;
    if (!sharing.isPriorUseKnown()) return false;
    const nowMs = this.clock.nowMs();
    const reporting = sharing.reportingEntries();
    const peers = reporting
      .map((instance) => this.peerCounts.get(instance))
      .filter((counts) => counts !== undefined);
    let used = this.used;
    let requests = this.ownCounts.requests(nowMs);
    for (const peer of peers) {
      used += peer.repeats(nowMs);
      requests += peer.requests(nowMs);
    }
    const shares = Math.min(1, (reporting.length + 1) / sharing.entryCount());
    const slack = allowance.retrySlack * shares * CONTINUATION_SHARE;
    return used + 1 <= this.earnedRetriesFor(requests) + slack;
  }

  private earnedRetriesFor(requests: number): number {
    return this.allowance.retryRatio * requests * RETRY_SHARE;
  }
}
