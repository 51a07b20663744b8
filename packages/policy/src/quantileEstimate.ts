/**
 * Relative step of the estimate: one value moves it by at most a tenth, and a high
 * quantile follows a change by half within some 40 values.
 */
const RELATIVE_STEP = 0.1;

/**
 * Tracks one quantile of positive values in constant memory. Values above the estimate
 * raise it and values below lower it, by steps that balance at the quantile. The
 * influence of older values decays.
 */
export class QuantileEstimate {
  /**
   * @param quantile between 0 and 1, exclusive
   * @param prior initial estimate, in the unit of the values
   */
  constructor(
    private readonly quantile: number,
    prior: number,
  ) {
    this.estimate = prior;
  }

  private estimate: number;

  get value(): number {
    return this.estimate;
  }

  note(value: number): void {
    const isAbove = value > this.estimate;
    const step = isAbove ? this.quantile : this.quantile - 1;
    this.estimate *= Math.exp(RELATIVE_STEP * step);
  }
}
