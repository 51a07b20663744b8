/** Running means over about the last `memory` samples. */
export class RateEstimate {
  private value: number | undefined;
  private intervalMs: number | undefined;
  private amount: number | undefined;
  private lastMs: number | undefined;

  constructor(private readonly memory: number) {}

  /** Mean of the samples given to `add`. */
  get mean(): number | undefined {
    return this.value;
  }

  /** Amount per millisecond, of the samples given to `addInterval`. */
  get perMs(): number | undefined {
    if (this.intervalMs === undefined || this.amount === undefined) {
      return undefined;
    }
    return this.amount / Math.max(0.01, this.intervalMs);
  }

  add(sample: number): void {
    this.value = this.blend(this.value, sample);
  }

  /** Counts `amount` that passed at `nowMs`. */
  addInterval(nowMs: number, amount: number): void {
    if (this.lastMs !== undefined) {
      this.intervalMs = this.blend(this.intervalMs, nowMs - this.lastMs);
      this.amount = this.blend(this.amount, amount);
    }
    this.lastMs = nowMs;
  }

  private blend(old: number | undefined, sample: number): number {
    return old === undefined ? sample : old + (sample - old) / this.memory;
  }
}
