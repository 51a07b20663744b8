/** Gaps are counted in buckets of their ratio to the usual gap, from 1/4 up to 64 times. */
const MIN_RATIO = 0.25;
const BUCKETS_PER_OCTAVE = 8;
const OCTAVES = 8;
const BUCKET_COUNT = BUCKETS_PER_OCTAVE * OCTAVES + 1;

/**
 * All counts are halved whenever this many gaps are counted. That is enough for shares of 1 in
 * 10,000, which the risk of a run of some hundred events depends on; an entry that relays 100
 * events per second follows a change by half within 100 s.
 */
const HALVED_AT_GAPS = 20_000;

/** With fewer gaps, the share of the long ones is not known well enough to use it. */
const MIN_GAPS = 200;

/**
 * Mean duration for which a pace that an engine reports will last, as long as nothing more
 * is known: a pace loses half of its weight in 300 ms.
 */
const PRESENT_PACE_MEAN_MS = 433;

/** The gaps that are expected between the events of a run at one engine. */
export interface ExpectedGaps {
  /** Usual gap between two events at the engine. */
  readonly usualGapMs: number;
  /** Gap at the engine's present pace. */
  readonly presentGapMs: number;
  /** Longest pause that still meets the goal; undefined if the route has none. */
  readonly pauseGoalMs?: number;
  /** Expected number of events. */
  readonly events: number;
}

/**
 * Distribution of the gaps between the events of the streams of one service, relative to
 * the usual gap at the engine that produced them. All engines share one histogram, in
 * constant memory, in which older gaps lose their weight.
 *
 * Prevents long runs at engines whose usual gap is close to the pause goal: at 72 ms, each
 * interval in which an engine takes 2.5 times as long makes a pause of 180 ms.
 */
export class PauseRisk {
  private readonly counts = new Float64Array(BUCKET_COUNT);
  private total = 0;

  /** Records a gap between two events at an engine whose usual gap is `usualGapMs`. */
  note(gapMs: number, usualGapMs: number): void {
    const ratio = gapMs / usualGapMs;
    if (!(ratio >= 0)) return;
    this.counts[Math.floor(toBucket(ratio))]!++;
    this.total++;
    if (this.total >= HALVED_AT_GAPS) this.halve();
  }

  /**
   * Probability that a run has a pause over the goal, if the gaps are independent. A run
   * has one gap less than events. Returns 0 until enough gaps are known.
   */
  missChance(usualGapMs: number, pauseGoalMs: number, events: number): number {
    return this.gapsMissChance(
      usualGapMs,
      pauseGoalMs,
      Math.max(0, events - 1),
    );
  }

  /** Like `missChance`, where the first gaps of the run are at the present pace. */
  missChanceNow(gaps: ExpectedGaps): number {
    const {usualGapMs, presentGapMs, pauseGoalMs, events} = gaps;
    if (pauseGoalMs === undefined) return 0;
    const count = Math.max(0, events - 1);
    const presentCount = Math.min(count, PRESENT_PACE_MEAN_MS / presentGapMs);
    const present = this.gapsMissChance(
      presentGapMs,
      pauseGoalMs,
      presentCount,
    );
    const later = this.gapsMissChance(
      usualGapMs,
      pauseGoalMs,
      count - presentCount,
    );
    return 1 - (1 - present) * (1 - later);
  }

  private gapsMissChance(
    usualGapMs: number,
    pauseGoalMs: number,
    gaps: number,
  ): number {
    return 1 - (1 - this.tail(pauseGoalMs / usualGapMs)) ** gaps;
  }

  /** Share of the gaps that are longer than `ratio` times the usual gap. */
  private tail(ratio: number): number {
    if (this.total < MIN_GAPS || !(ratio >= 0)) return 0;
    const position = toBucket(ratio);
    const bucket = Math.floor(position);
    let above = this.counts[bucket]! * (bucket + 1 - position);
    for (let next = bucket + 1; next < BUCKET_COUNT; next++) {
      above += this.counts[next]!;
    }
    return Math.min(1, above / this.total);
  }

  private halve(): void {
    this.total = 0;
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
      this.counts[bucket]! /= 2;
      this.total += this.counts[bucket]!;
    }
  }
}

/** Position of a ratio in the histogram; its integer part is the bucket. */
function toBucket(ratio: number): number {
  const octaves = Math.log2(Math.max(MIN_RATIO, ratio) / MIN_RATIO);
  return Math.min(BUCKET_COUNT - 1, octaves * BUCKETS_PER_OCTAVE);
}
