interface Span {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Times in which entries are out of step with the store, endpoints or callers. */
export class Disturbances {
  private readonly spans: Span[] = [];

  note(fromMs: number, untilMs: number): void {
    this.spans.push({fromMs, untilMs});
  }

  /** True when one of them meets this span. */
  meets(fromMs: number, untilMs: number): boolean {
    return this.spans.some(
      (span) => span.fromMs <= untilMs && fromMs <= span.untilMs,
    );
  }
}
