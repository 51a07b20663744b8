interface Interval {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Intervals in which a fault may keep an entry from reaching the store, endpoints or callers. */
export class Disturbances {
  private readonly intervals: Interval[] = [];

  note(fromMs: number, untilMs: number): void {
    this.intervals.push({fromMs, untilMs});
  }

  /** True when one of the intervals overlaps the given one. */
  overlaps(fromMs: number, untilMs: number): boolean {
    return this.intervals.some(
      (interval) => interval.fromMs <= untilMs && fromMs <= interval.untilMs,
    );
  }
}
