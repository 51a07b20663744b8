/** Exponential moving averages over about the last `memory` samples. */
export class RateEstimate {
  private value: number | undefined;
  private meanIntervalMs: number | undefined;
  private meanAmount: number | undefined;
  private lastAmountAtMs: number | undefined;

  constructor(private readonly memory: number) {}

  /** Moving average of the samples given to `add`. */
  get mean(): number | undefined {
    return this.value;
  }

  /** Amount per millisecond over the calls of `addAmount`. */
  get perMs(): number | undefined {
    if (this.meanIntervalMs === undefined || this.meanAmount === undefined) {
      return undefined;
    }
    return this.meanAmount / Math.max(0.01, this.meanIntervalMs);
  }

  add(sample: number): void {
    this.value = this.blend(this.value, sample);
  }

  /** Records an amount that was processed at `nowMs`. */
  addAmount(nowMs: number, amount: number): void {
    if (this.lastAmountAtMs !== undefined) {
      this.meanIntervalMs = this.blend(
        this.meanIntervalMs,
        nowMs - this.lastAmountAtMs,
      );
      this.meanAmount = this.blend(this.meanAmount, amount);
    }
    this.lastAmountAtMs = nowMs;
  }

  private blend(old: number | undefined, sample: number): number {
    return old === undefined ? sample : old + (sample - old) / this.memory;
  }
}
