/**
 * How long a value counts after its last report. Sources that are
 * replaced or evacuated for some seconds don't change the median.
 */
const VALUE_KEPT_MS = 60_000;

/** Initial time in which the value follows the median at once, as sources report. */
const LEARNING_MS = 5_000;

/** Half-life at which the value follows a change of the median after that. */
const HALF_LIFE_MS = 10_000;

/**
 * Longest time between two computations that counts. After a silence most values have expired,
 * and the first new one alone says little about the median.
 */
const MAX_STEP_MS = 1_000;

/** With more sources, the median is not computed at each report while it is learned. */
const FEW_SOURCES = 64;

/** Shortest time between two computations of the median, which sorts all values. */
const MEDIAN_INTERVAL_MS = 250;

/**
 * What most of several sources report at present. It follows changes slowly, because a
 * change of the sources that are in sight for a moment would otherwise change it at once.
 */
export class SlowMedian<T> {
  private readonly latest = new Map<
    T,
    {readonly value: number; readonly atMs: number}
  >();
  private current: number | undefined;
  private firstAtMs: number | undefined;
  private computedAtMs: number | undefined;

  constructor(
    /** Value that counts until the sources have reported for some time. */
    private readonly initial?: number,
  ) {
    this.current = initial;
  }

  /** The median; undefined while no source has reported and there is no initial value. */
  get value(): number | undefined {
    return this.current;
  }

  /** Number of sources that count. */
  get size(): number {
    return this.latest.size;
  }

  /** Adds the latest value of a source; replaces its former one. */
  note(source: T, value: number, nowMs: number): void {
    this.firstAtMs ??= nowMs;
    this.latest.set(source, {value, atMs: nowMs});
    const isLearning =
      this.initial === undefined && nowMs - this.firstAtMs < LEARNING_MS;
    const sinceMs = nowMs - (this.computedAtMs ?? nowMs);
    const isRecent =
      this.computedAtMs !== undefined && sinceMs < MEDIAN_INTERVAL_MS;
    const isFew = this.latest.size <= FEW_SOURCES;
    if (isRecent && !(isLearning && isFew)) return;
    this.computedAtMs = nowMs;
    const median = this.median(nowMs);
    if (this.current === undefined || isLearning) {
      this.current = median;
      return;
    }
    const stepMs = Math.min(MAX_STEP_MS, Math.max(0, sinceMs));
    const weight = 0.5 ** (stepMs / HALF_LIFE_MS);
    this.current = median + (this.current - median) * weight;
  }

  private median(nowMs: number): number {
    const values: number[] = [];
    for (const [source, {value, atMs}] of this.latest) {
      if (nowMs - atMs > VALUE_KEPT_MS) this.latest.delete(source);
      else values.push(value);
    }
    values.sort((a, b) => a - b);
    const middle = (values.length - 1) / 2;
    return (values[Math.floor(middle)]! + values[Math.ceil(middle)]!) / 2;
  }
}
