/**
 * Initial estimate: one prompt of 4,000 tokens is admitted every 250 ms. It has the
 * weight of one second of observations.
 */
const PRIOR_TOKENS = 16_000;
const PRIOR_MS = 1_000;

/** Queueing time in which an observation loses half of its weight. */
const HALF_LIFE_MS = 1_500;

/** Queueing time from which the rate is taken as measured; before, the initial estimate dominates. */
const MIN_MEASURED_MS = 500;

/**
 * Estimates how fast a queue for engine memory drains, from the tokens admitted while
 * requests were waiting. The rate covers every cause of free or lost room (runs that
 * end, new engines, admissions by other entries) without a model of each, and decays
 * while nothing is admitted. Needs constant memory.
 */
export class DrainRate {
  private tokens = PRIOR_TOKENS;
  private queuedMs = PRIOR_MS;
  /** The same without the initial estimate. */
  private measuredTokens = 0;
  private measuredMs = 0;

  /**
   * Records that the queue was not empty for `forMs` and that `tokens` were admitted
   * in that time. Negative `tokens` take back an admission that failed later.
   */
  note(forMs: number, tokens: number): void {
    const decay = 0.5 ** (forMs / HALF_LIFE_MS);
    this.tokens = Math.max(0, this.tokens * decay + tokens);
    this.queuedMs = this.queuedMs * decay + forMs;
    this.measuredTokens = Math.max(0, this.measuredTokens * decay + tokens);
    this.measuredMs = this.measuredMs * decay + forMs;
  }

  /** Rate as observed; undefined after too little queueing time. */
  get measuredTokensPerMs(): number | undefined {
    if (this.measuredMs < MIN_MEASURED_MS) return undefined;
    return this.measuredTokens / this.measuredMs;
  }

  /** Expected time until `tokens` are admitted. */
  expectedWaitMs(tokens: number): number {
    // Keeps the estimate finite when nothing was admitted for a long time.
    return (tokens * this.queuedMs) / Math.max(1, this.tokens);
  }
}
