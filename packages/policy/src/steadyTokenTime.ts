/** The share of the times below the steady one. */
const QUANTILE = 0.2;

/** Time that one sample covers: long compared with a step of an engine. */
const SAMPLE_MS = 1_000;

/** For fewer tokens, the rounding of their number would dominate the sample. */
const MIN_SAMPLE_TOKENS = 16;

/** Samples that count; together they cover several times as long as an engine is slow at a time. */
const SAMPLE_COUNT = 32;

/**
 * The steady time per output token of one engine: a low quantile of samples of a second
 * each, in constant memory. Low, because prompts that the engine reads at the same time
 * and intervals in which it is slow only ever lengthen the time. The runs of one second
 * form one sample, because whatever slows one of them slows all.
 *
 * Prevents an engine that is slow for some seconds from counting as a slow engine, as it
 * would by an estimate that follows each run.
 */
export class SteadyTokenTime {
  private readonly samples: number[] = [];
  private next = 0;
  private startMs: number | undefined;
  private tokens = 0;
  private tookMs = 0;

  /** Records that a run produced `tokens` in `tookMs`. */
  note(tokens: number, tookMs: number, nowMs: number): void {
    if (!(tokens > 0) || !(tookMs > 0)) return;
    this.startMs ??= nowMs;
    this.tokens += tokens;
    this.tookMs += tookMs;
    if (this.tokens < MIN_SAMPLE_TOKENS) return;
    if (this.samples.length > 0 && nowMs - this.startMs < SAMPLE_MS) return;
    this.samples[this.next] = this.tookMs / this.tokens;
    this.next = (this.next + 1) % SAMPLE_COUNT;
    this.startMs = nowMs;
    this.tokens = 0;
    this.tookMs = 0;
  }

  /** Steady time per output token; undefined until a first sample is complete. */
  get outputTokenMs(): number | undefined {
    const sorted = this.samples.toSorted((a, b) => a - b);
    return sorted[Math.floor(QUANTILE * (sorted.length - 1))];
  }
}
