/** The requirements let the first attempts of one request crash this many engines. */
const TOLERATED_CRASHES = 3;

/** The requirements tolerate this many crashes later than `PROPAGATION_MS`. */
const MAX_LATER_CRASHES = 3;

/** Time from the third crash until every entry must have quarantined the request. */
const PROPAGATION_MS = 3_000;

/** The body of the deadly request, which crashes each engine that begins to run it. */
export const DEADLY_BODY = 'a prompt that ends its engine';

/** Counts the engines that crash under the deadly request. */
export class DeadlyLedger {
  private readonly crashTimesMs: number[] = [];

  noteCrash(atMs: number): void {
    this.crashTimesMs.push(atMs);
  }

  get count(): number {
    return this.crashTimesMs.length;
  }

  violations(): string[] {
    const third = this.crashTimesMs[TOLERATED_CRASHES - 1];
    if (third === undefined) return [];
    const later = this.crashTimesMs.filter(
      (atMs) => atMs > third + PROPAGATION_MS,
    );
    if (later.length <= MAX_LATER_CRASHES) return [];
    return [
      `${this.count} engines ended under one request, ${later.length} of them later than ${PROPAGATION_MS} ms after the third`,
    ];
  }
}
