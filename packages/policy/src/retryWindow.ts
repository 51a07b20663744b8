import {MAX_OPEN_MS} from './openRetry.js';
import type {OpenRetry} from './openRetry.js';

/** Requests and retries are counted in buckets of this length. */
const BUCKET_MS = 250;

/** A request may have been sent half a second earlier than it was counted. */
const REQUEST_MARGIN_BUCKETS = 2;

/**
 * How much of a request's earnings counts in windows that have it; the rest counts in windows
 * that follow one that has it. The weights are the same for all entries, so that their earnings
 * add up to no more than those of the window that earns most.
 */
const OWN_WINDOW_WEIGHT = 0.5;
const NEXT_WINDOW_WEIGHT = 1 - OWN_WINDOW_WEIGHT;

/** A process without a share of the slack could not retry at all otherwise. */
const MIN_OPEN_RETRIES = 1;

/** Share of the requests that may be retried, and the windows in which this holds. */
export interface WindowRatio {
  readonly retryRatio: number;
  readonly retryWindowMs: number;
}

interface Bucket {
  requests: number;
  /** Retries that arrive in this bucket at the latest. */
  retries: number;
}

/**
 * The requests and retries of one process for one service, and how many more retries every
 * window allows.
 *
 * A send may arrive long after it was made, and with it a retry of its request. So a retry is open,
 * and counts in each window, until no send of its request can arrive any more.
 *
 * For each time `u` within the last window, the retries since `u` must not exceed what requests
 * earn for the window that begins at `u`, plus a share of the slack. Requests to come only add to
 * that. The sum over processes holds without any knowledge of the others: a request is counted
 * by one process only, and a process that ends leaves its retries to the requests that it counted.
 */
export class RetryWindow {
  /** By number of the bucket. */
  private readonly buckets = new Map<number, Bucket>();
  /** Retries whose arrival may lie ahead, and since when they are open; the oldest first. */
  private readonly open = new Map<OpenRetry, number>();

  constructor(private readonly ratio: WindowRatio) {}

  noteRequest(nowMs: number): void {
    this.bucketAt(nowMs).requests++;
    this.evict(nowMs);
  }

  /** Counts a retry in all windows until it is settled. */
  openRetry(nowMs: number): OpenRetry {
    const retry: OpenRetry = {
      settle: (arrivedByMs) => {
        if (!this.open.delete(retry)) return;
        this.bucketAt(arrivedByMs).retries++;
      },
    };
    this.open.set(retry, nowMs);
    this.evict(nowMs);
    return retry;
  }

  /** Requests of the last window. */
  requests(nowMs: number): number {
    const first = bucketOf(nowMs - this.ratio.retryWindowMs) + 1;
    return this.sum('requests', first, bucketOf(nowMs));
  }

  /** Retries that may count in a window that includes this time. */
  retries(nowMs: number): number {
    const first = bucketOf(nowMs - this.ratio.retryWindowMs);
    this.dropOldest(nowMs);
    return (
      this.open.size + this.sum('retries', first, Number.POSITIVE_INFINITY)
    );
  }

  /** Retries whose arrival may lie ahead. */
  openRetries(nowMs: number): number {
    this.dropOldest(nowMs);
    const next = bucketOf(nowMs) + 1;
    return this.open.size + this.sum('retries', next, Number.POSITIVE_INFINITY);
  }

  /** Whether each window has room for one more retry, whenever it arrives. */
  allows(nowMs: number, slack: number): boolean {
    // Windows to come may have no requests at all, so that they hold the slack alone.
    const maxOpen = Math.max(MIN_OPEN_RETRIES, slack);
    if (this.openRetries(nowMs) + 1 > maxOpen) return false;
    const {retryRatio, retryWindowMs} = this.ratio;
    const newest = bucketOf(nowMs);
    const oldest = bucketOf(nowMs - retryWindowMs);
    const windowBuckets = Math.floor(retryWindowMs / BUCKET_MS);
    // For windows that begin in bucket `begin`, from the latest to the earliest. A request that
    // may belong to the window or to the one before has the smaller of their weights.
    let retries = this.openRetries(nowMs);
    let ownRequests = 0;
    let earlierRequests = this.sum(
      'requests',
      newest + 1 + REQUEST_MARGIN_BUCKETS - windowBuckets,
      newest + REQUEST_MARGIN_BUCKETS,
    );
    for (let begin = newest; begin >= oldest; begin--) {
      retries += this.count('retries', begin);
      const earned =
        OWN_WINDOW_WEIGHT * ownRequests + NEXT_WINDOW_WEIGHT * earlierRequests;
      if (retries + 1 > retryRatio * earned + slack) return false;
      const last = begin + REQUEST_MARGIN_BUCKETS;
      ownRequests += this.count('requests', last);
      earlierRequests -= this.count('requests', last);
      earlierRequests += this.count('requests', last - windowBuckets);
    }
    return true;
  }

  private dropOldest(nowMs: number): void {
    for (const [retry, sinceMs] of this.open) {
      if (nowMs - sinceMs <= MAX_OPEN_MS) return;
      this.open.delete(retry);
    }
  }

  private count(field: keyof Bucket, number: number): number {
    return this.buckets.get(number)?.[field] ?? 0;
  }

  private sum(field: keyof Bucket, first: number, last: number): number {
    let sum = 0;
    for (const [number, bucket] of this.buckets) {
      if (number >= first && number <= last) sum += bucket[field];
    }
    return sum;
  }

  private bucketAt(atMs: number): Bucket {
    const number = bucketOf(atMs);
    const known = this.buckets.get(number);
    if (known !== undefined) return known;
    const added = {requests: 0, retries: 0};
    this.buckets.set(number, added);
    return added;
  }

  private evict(nowMs: number): void {
    const oldest = bucketOf(nowMs - 2 * this.ratio.retryWindowMs);
    for (const number of this.buckets.keys()) {
      if (number < oldest) this.buckets.delete(number);
    }
  }
}

function bucketOf(atMs: number): number {
  return Math.floor(atMs / BUCKET_MS);
}
