/** The allowance that all entries of a test share. */
export const RATIO = 0.2;
export const WINDOW_MS = 10_000;

/** Distance at which a window lies before or after an event. */
const EPSILON_MS = 1e-3;

/** Counts the requests and retries of all entries, as seen from outside. */
export class RetryJudge {
  private readonly requestsMs: number[] = [];
  private readonly retriesMs: number[] = [];

  constructor(private readonly retrySlack: number) {}

  get retryCount(): number {
    return this.retriesMs.length;
  }

  noteRequest(atMs: number): void {
    this.requestsMs.push(atMs);
  }

  noteRetry(atMs: number): void {
    this.retriesMs.push(atMs);
  }

  /**
   * Retries above the limit in the worst of all windows; negative if there are fewer. The limit
   * follows from the requests of the window, of the one half a window earlier or of the one
   * before it, whichever has most.
   */
  get worstExcess(): number {
    this.requestsMs.sort((a, b) => a - b);
    this.retriesMs.sort((a, b) => a - b);
    let worst = -Infinity;
    for (const endMs of this.windowEnds()) {
      worst = Math.max(worst, this.excessAt(endMs));
    }
    return worst;
  }

  /** The ends of windows around which a count changes. */
  private windowEnds(): Set<number> {
    const ends = new Set<number>();
    for (const atMs of new Set([...this.retriesMs, ...this.requestsMs])) {
      for (let halves = 0; halves <= 4; halves++) {
        const endMs = atMs + (halves * WINDOW_MS) / 2;
        ends.add(endMs).add(endMs - EPSILON_MS);
      }
    }
    return ends;
  }

  private excessAt(endMs: number): number {
    const retries = countInWindow(this.retriesMs, endMs);
    if (retries === 0) return -Infinity;
    const requests = [0, WINDOW_MS / 2, WINDOW_MS].map((earlierMs) =>
      countInWindow(this.requestsMs, endMs - earlierMs),
    );
    return retries - (RATIO * Math.max(...requests) + this.retrySlack);
  }
}

/** Events after `endMs - WINDOW_MS` and not after `endMs`. */
function countInWindow(timesMs: readonly number[], endMs: number): number {
  return countUntil(timesMs, endMs) - countUntil(timesMs, endMs - WINDOW_MS);
}

/** Number of ascending times that are not after `untilMs`. */
function countUntil(timesMs: readonly number[], untilMs: number): number {
  let low = 0;
  let high = timesMs.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (timesMs[middle]! <= untilMs) low = middle + 1;
    else high = middle;
  }
  return low;
}
