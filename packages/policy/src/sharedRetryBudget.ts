import type {Clock} from '@lilacledge/shared';

/** Parts of the window that are counted apart and forgotten one by one. */
const BUCKETS = 20;

/** Part of the shared allowance that entries use, as their counts lag. */
const SAFETY_SHARE = 0.85;

/** What all entries together may send to a second endpoint. */
export interface RetryAllowance {
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  /** Free sends in a window, over all entries. */
  readonly retrySlack: number;
}

/**
 * This entry's part of the budget for sends beyond the first, for one service.
 * Each entry keeps to the ratio of its own requests and to an equal part of
 * the slack, so no call is needed to agree. The slack is divided by the most
 * entries that were seen in the window: their registrations lapse in an outage
 * of the store, and each entry then sees itself alone.
 *
 * Answers the pattern of a retry storm, also right after such an outage, when each
 * entry sees itself alone and would take the whole slack.
 */
export class SharedRetryBudget {
  private readonly requests = new Float64Array(BUCKETS);
  private readonly retries = new Float64Array(BUCKETS);
  /** The most entries seen in each part of the window. */
  private readonly entries = new Float64Array(BUCKETS);
  private newest = 0;

  constructor(
    private readonly allowance: RetryAllowance,
    private readonly entriesNow: () => number,
    private readonly clock: Clock,
  ) {}

  noteRequest(): void {
    this.noteEntries();
    this.requests[this.bucket()]!++;
  }

  /** Takes one send from the budget; false when it is used up. */
  tryTake(): boolean {
    const bucket = this.bucket();
    if (this.used + 1 > this.allowed) return false;
    this.retries[bucket]!++;
    return true;
  }

  /** A send beyond the first that had to be made, whatever the budget. */
  noteForced(): void {
    this.retries[this.bucket()]!++;
  }

  get used(): number {
    return sum(this.retries);
  }

  get allowed(): number {
    const {retryRatio, retrySlack} = this.allowance;
    const share = retrySlack / this.entryCount;
    return (retryRatio * sum(this.requests) + share) * SAFETY_SHARE;
  }

  /** The entries that share the slack: the most that were seen in the window. */
  get entryCount(): number {
    this.noteEntries();
    return Math.max(...this.entries);
  }

  private noteEntries(): void {
    const bucket = this.bucket();
    const known = this.entries[bucket]!;
    this.entries[bucket] = Math.max(1, known, this.entriesNow());
  }

  private bucket(): number {
    const widthMs = this.allowance.retryWindowMs / BUCKETS;
    const current = Math.floor(this.clock.nowMs() / widthMs);
    const from = Math.max(this.newest + 1, current - BUCKETS + 1);
    for (let passed = from; passed <= current; passed++) {
      this.requests[passed % BUCKETS] = 0;
      this.retries[passed % BUCKETS] = 0;
      this.entries[passed % BUCKETS] = 0;
    }
    this.newest = current;
    return current % BUCKETS;
  }
}

function sum(values: Float64Array): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}
