/**
 * Limits retries to a share of the requests: each request earns a part of a
 * token, each retry costs a whole one, so that a failing endpoint is hit by at
 * most `1 + share` times the offered load, apart from the first few.
 */
export class RetryBudget {
  private tokens: number;

  constructor(
    private readonly share: number,
    private readonly burst: number,
  ) {
    this.tokens = burst;
  }

  /** Counts a first try. */
  earn(): void {
    this.tokens = Math.min(this.burst, this.tokens + this.share);
  }

  /** Takes the cost of one retry; false when there is none to take. */
  spend(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
