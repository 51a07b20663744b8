/** Times are counted in parts of this length, so that what is told stays small. */
const PART_MS = 500;

/** What one life of an entry saw and did for one service in one part of its time. */
export interface RepeatPart {
  /** Names the life of the process. */
  readonly life: string;
  /** Counts the parts of that life. */
  readonly part: number;
  /** Age of the newest of it: processes' clocks are not compared. */
  readonly agoMs: number;
  /** Requests that it was asked for. */
  readonly requests: number;
  /** Sends beyond the first of a request. */
  readonly repeats: number;
}

interface Counted {
  readonly life: string;
  readonly part: number;
  readonly atMs: number;
  readonly requests: number;
  readonly repeats: number;
}

/** How long what is counted is of use. */
export interface UseSpans {
  /** Requests count for no longer than this. */
  requestsMs(): number;
  /** Repeats count for no less than this. */
  repeatsMs(): number;
}

/**
 * The requests and the repeats of an entry for one service, in all lives of its process. The
 * counts of a part only grow, so that what is told comes out the same in whatever order and
 * however often it comes.
 */
export class RepeatUse {
  private readonly parts = new Map<string, Counted>();
  /** Parts that have changed since they were told. */
  private readonly untold = new Set<string>();

  constructor(private readonly spans: UseSpans) {}

  noteRequest(life: string, nowMs: number): void {
    this.add(life, nowMs, {requests: 1, repeats: 0});
  }

  noteRepeat(life: string, nowMs: number): void {
    this.add(life, nowMs, {requests: 0, repeats: 1});
  }

  /** What has changed since this was asked last. */
  takeUntold(nowMs: number): RepeatPart[] {
    this.forget(nowMs);
    const told = [...this.untold]
      .map((key) => this.parts.get(key))
      .filter((counted) => counted !== undefined);
    this.untold.clear();
    return told.map((counted) => toPart(counted, nowMs));
  }

  /** Takes what is known elsewhere; false when nothing of it is new. */
  merge(parts: readonly RepeatPart[], nowMs: number): boolean {
    this.forget(nowMs);
    let isNews = false;
    for (const {life, part, agoMs, requests, repeats} of parts) {
      const key = keyOf(life, part);
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
      isNews = true;
    }
    return isNews;
  }

  requests(nowMs: number): number {
    // The oldest of a part may be older than its newest by the length of the part.
    const oldestMs = nowMs - this.spans.requestsMs() + PART_MS;
    let sum = 0;
    for (const {atMs, requests} of this.parts.values()) {
      if (atMs >= oldestMs) sum += requests;
    }
    return sum;
  }

  repeats(nowMs: number): number {
    this.forget(nowMs);
    let sum = 0;
    for (const {repeats} of this.parts.values()) sum += repeats;
    return sum;
  }

  /** All that counts, as others are told of it. */
  all(nowMs: number): RepeatPart[] {
    this.forget(nowMs);
    return [...this.parts.values()].map((counted) => toPart(counted, nowMs));
  }

  private add(
    life: string,
    nowMs: number,
    more: Pick<Counted, 'requests' | 'repeats'>,
  ): void {
    const part = Math.floor(nowMs / PART_MS);
    const key = keyOf(life, part);
    const known = this.parts.get(key);
    this.parts.set(key, {
      life,
      part,
      atMs: nowMs,
      requests: (known?.requests ?? 0) + more.requests,
      repeats: (known?.repeats ?? 0) + more.repeats,
    });
    this.untold.add(key);
    if (known === undefined) this.forget(nowMs);
  }

  private forget(nowMs: number): void {
    const oldestMs = nowMs - this.spans.repeatsMs();
    for (const [key, {atMs}] of this.parts) {
      if (atMs >= oldestMs) continue;
      this.parts.delete(key);
      this.untold.delete(key);
    }
  }
}

function keyOf(life: string, part: number): string {
  return `${life} ${part}`;
}

function toPart({atMs, ...counted}: Counted, nowMs: number): RepeatPart {
  return {...counted, agoMs: nowMs - atMs};
}
