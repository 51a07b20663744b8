/**
 * Relative step of the estimate. A change of pace by half is followed within
 * some forty values for a high quantile, and one value moves it by a tenth.
 */
const STEP = 0.1;

/**
 * Follows one quantile of positive values in constant memory: each value above
 * the estimate raises it, each below lowers it, in the proportion at which the
 * two balance at the quantile. Older values fade by themselves.
 */
export class QuantileEstimate {
  /**
   * @param quantile between 0 and 1, exclusive
   * @param prior what is assumed before values come, in their unit
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
    this.estimate *= Math.exp(STEP * step);
  }
}
