/**
 * What is assumed before anything was seen: a prompt of 4,000 tokens finds room
 * each quarter of a second. It weighs as much as a second of seeing a queue.
 */
const PRIOR_TOKENS = 16_000;
const PRIOR_MS = 1_000;

/** Time of a waiting queue in which what was seen loses half of its weight. */
const HALF_LIFE_MS = 1_500;

/**
 * How fast a queue for memory is worked off, in tokens a millisecond, learned
 * from what was admitted while somebody waited. It takes in all that opens room
 * (runs that end, engines that come, others' admissions) without modelling it,
 * and falls by itself while nothing opens. Bounded: two numbers.
 */
export class DrainRate {
  private tokens = PRIOR_TOKENS;
  private timeMs = PRIOR_MS;

  /**
   * Somebody waited for `forMs`, and `tokens` were admitted meanwhile; fewer than none
   * where room that had been counted proved to be gone.
   */
  note(forMs: number, tokens: number): void {
    const kept = 0.5 ** (forMs / HALF_LIFE_MS);
    this.tokens = Math.max(0, this.tokens * kept + tokens);
    this.timeMs = this.timeMs * kept + forMs;
  }

  /** Time until `tokens` are admitted, in milliseconds. */
  timeForMs(tokens: number): number {
    // A queue that opens no room at all still needs a finite answer.
    return (tokens * this.timeMs) / Math.max(1, this.tokens);
  }
}
