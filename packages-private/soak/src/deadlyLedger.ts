/** Ends of endpoints under one request that its first tries may bring (stated). */
const FREE_ENDS = 3;

/** Sends more than that, after `KNOWN_AFTER_MS`, that are still borne (stated). */
const MOST_LATER_ENDS = 3;

/** From the third end until every entry must know of it (stated). */
const KNOWN_AFTER_MS = 3_000;

/** The body of a request that ends each engine that begins to run it. */
export const DEADLY_BODY = 'a prompt that ends its engine';

/** The ends of engines under the deadly request. */
export class DeadlyLedger {
  private readonly endsMs: number[] = [];

  noteEnd(atMs: number): void {
    this.endsMs.push(atMs);
  }

  get count(): number {
    return this.endsMs.length;
  }

  violations(): string[] {
    const third = this.endsMs[FREE_ENDS - 1];
    if (third === undefined) return [];
    const later = this.endsMs.filter((atMs) => atMs > third + KNOWN_AFTER_MS);
    if (later.length <= MOST_LATER_ENDS) return [];
    return [
      `${this.count} engines ended under one request, ${later.length} of them later than ${KNOWN_AFTER_MS} ms after the third`,
    ];
  }
}
