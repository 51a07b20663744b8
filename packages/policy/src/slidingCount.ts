/** Events are counted in parts of this length, and forgotten part by part. */
const PART_MS = 500;

/** How many events came lately. */
export class SlidingCount {
  private readonly counts = new Map<number, number>();

  note(nowMs: number): void {
    const part = partOf(nowMs);
    this.counts.set(part, (this.counts.get(part) ?? 0) + 1);
  }

  /** Events of the last `spanMs`; leaves out some of the oldest rather than count more. */
  within(nowMs: number, spanMs: number): number {
    return this.since(partOf(nowMs - spanMs) + 1);
  }

  /** Events of the last `spanMs`; counts some older ones rather than leave any out. */
  covering(nowMs: number, spanMs: number): number {
    return this.since(partOf(nowMs - spanMs));
  }

  private since(first: number): number {
    let sum = 0;
    for (const [part, count] of this.counts) {
      if (part >= first) sum += count;
      else this.counts.delete(part);
    }
    return sum;
  }
}

function partOf(nowMs: number): number {
  return Math.floor(nowMs / PART_MS);
}
