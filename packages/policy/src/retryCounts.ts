/** Events are counted in buckets of this length, which keeps reports small. */
const BUCKET_MS = 500;

/** Requests and retries of one incarnation of an entry for one service in one bucket of time. */
export interface RetryCountBucket {
  /** ID of the process incarnation. */
  readonly life: string;
  /** Number of the bucket within that incarnation. */
  readonly part: number;
  /** Age of the newest event; an age, as clocks of processes are not compared. */
  readonly agoMs: number;
  /** Requests that the entry received. */
  readonly requests: number;
  /** Retries: sends of a request beyond the first. */
  readonly repeats: number;
}

interface Bucket {
  readonly life: string;
  readonly part: number;
  readonly atMs: number;
  readonly requests: number;
  readonly repeats: number;
}

/** How long counts are used. */
export interface CountRetention {
  /** Maximum time for which requests count. */
  requestsMs(): number;
  /** Minimum time for which retries count. */
  retriesMs(): number;
}

/**
 * The requests and retries of an entry for one service, over all incarnations of its process.
 * Counts of a bucket only grow, so reports converge in any order and with duplicates.
 */
export class RetryCounts {
  private readonly parts = new Map<string, Bucket>();
  /** Keys of the buckets that changed since they were last reported. */
  private readonly unreportedKeys = new Set<string>();

  constructor(private readonly retention: CountRetention) {}

  noteRequest(life: string, nowMs: number): void {
    this.add(life, nowMs, {requests: 1, repeats: 0});
  }

  noteRetry(life: string, nowMs: number): void {
    this.add(life, nowMs, {requests: 0, repeats: 1});
  }

  /** The buckets that changed since the last call. */
  takeUnreported(nowMs: number): RetryCountBucket[] {
    this.evict(nowMs);
    const changed = [...this.unreportedKeys]
      .map((key) => this.parts.get(key))
      .filter((bucket) => bucket !== undefined);
    this.unreportedKeys.clear();
    return changed.map((bucket) => toReportedBucket(bucket, nowMs));
  }

  /** Merges buckets known elsewhere; false if nothing of them is new. */
  merge(parts: readonly RetryCountBucket[], nowMs: number): boolean {
    this.evict(nowMs);
    let isChanged = false;
    for (const {life, part, agoMs, requests, repeats} of parts) {
      const key = bucketKey(life, part);
      const known = this.parts.get(key);
      const isKnown =
        known !== undefined &&
        known.requests >= requests &&
        known.repeats >= repeats;
      if (isKnown) continue;
      this.parts.set(key, {
        life,
        part,
        atMs: Math.max(known?.atMs ?? -Infinity, nowMs - agoMs),
        requests: Math.max(known?.requests ?? 0, requests),
        repeats: Math.max(known?.repeats ?? 0, repeats),
      });
      isChanged = true;
    }
    return isChanged;
  }

  requests(nowMs: number): number {
    // The oldest event of a bucket may precede its newest by the length of the bucket.
    const oldestMs = nowMs - this.retention.requestsMs() + BUCKET_MS;
    let sum = 0;
    for (const {atMs, requests} of this.parts.values()) {
      if (atMs >= oldestMs) sum += requests;
    }
    return sum;
  }

  repeats(nowMs: number): number {
    this.evict(nowMs);
    let sum = 0;
    for (const {repeats} of this.parts.values()) sum += repeats;
    return sum;
  }

  /** All buckets that still count, in the form of a report. */
  all(nowMs: number): RetryCountBucket[] {
    this.evict(nowMs);
    return [...this.parts.values()].map((bucket) =>
      toReportedBucket(bucket, nowMs),
    );
  }

  private add(
    life: string,
    nowMs: number,
    increment: Pick<Bucket, 'requests' | 'repeats'>,
  ): void {
    const part = Math.floor(nowMs / BUCKET_MS);
    const key = bucketKey(life, part);
    const known = this.parts.get(key);
    this.parts.set(key, {
      life,
      part,
      atMs: nowMs,
      requests: (known?.requests ?? 0) + increment.requests,
      repeats: (known?.repeats ?? 0) + increment.repeats,
    });
    this.unreportedKeys.add(key);
    if (known === undefined) this.evict(nowMs);
  }

  private evict(nowMs: number): void {
    const oldestMs = nowMs - this.retention.retriesMs();
    for (const [key, {atMs}] of this.parts) {
      if (atMs >= oldestMs) continue;
      this.parts.delete(key);
      this.unreportedKeys.delete(key);
    }
  }
}

function bucketKey(life: string, part: number): string {
  return `${life} ${part}`;
}

function toReportedBucket(
  {atMs, ...counts}: Bucket,
  nowMs: number,
): RetryCountBucket {
  return {...counts, agoMs: nowMs - atMs};
}
