import {QuantileEstimate} from './quantileEstimate.js';

const MEDIAN = 0.5;

/** 3 of 100 outputs are slower. */
const P97_QUANTILE = 0.97;

/** Allows for engines that slow down under more load during a generation. */
const MAX_EXPECTED_FACTOR = 2;

/**
 * Initial estimates per token, which count until responses were timed. The last one is that
 * of a heavily loaded engine.
 */
const PRIOR_PROMPT_TOKEN_MS = 1 / 7;
const PRIOR_OUTPUT_TOKEN_MS = 10;
const PRIOR_P97_OUTPUT_TOKEN_MS = 12.5;

/** For fewer tokens, network and step overhead would dominate the measurement. */
const MIN_PREFILL_TOKENS = 200;
const MIN_OUTPUT_TOKENS = 16;

/** Forecasts of how long work takes. */
export type EngineForecasts = Pick<
  EnginePace,
  'prefillMs' | 'outputMs' | 'p97OutputMs' | 'maxExpectedOutputMs'
>;

/**
 * Prefill and decoding speed of the engines of one service, learned from their
 * responses. Each process learns it for each service, in constant memory; the
 * estimate follows a change by half within some 40 responses.
 *
 * The forecasts that decide which requests wait or are refused, which engine is
 * chosen and which run is moved first depend on it. A fixed speed would be wrong for
 * every engine other than the one it was configured for.
 */
export class EnginePace {
  private readonly promptTokenMs = new QuantileEstimate(
    MEDIAN,
    PRIOR_PROMPT_TOKEN_MS,
  );
  private readonly outputTokenMs = new QuantileEstimate(
    MEDIAN,
    PRIOR_OUTPUT_TOKEN_MS,
  );
  private readonly p97OutputTokenMs = new QuantileEstimate(
    P97_QUANTILE,
    PRIOR_P97_OUTPUT_TOKEN_MS,
  );

  constructor(
    /** False to keep the initial estimates. */
    private readonly isLearned = true,
  ) {}

  /** Records that a first event took `tookMs` from the send, with `tokens` to prefill. */
  notePrefill(tokens: number, tookMs: number): void {
    if (!this.isLearned || tokens < MIN_PREFILL_TOKENS) return;
    this.promptTokenMs.note(tookMs / tokens);
  }

  /** Records that a run produced `tokens` in `tookMs`, time of a move not included. */
  noteOutput(tokens: number, tookMs: number): void {
    if (!this.isLearned || tokens < MIN_OUTPUT_TOKENS) return;
    this.outputTokenMs.note(tookMs / tokens);
    this.p97OutputTokenMs.note(tookMs / tokens);
  }

  /** Median time to prefill that many prompt tokens. */
  prefillMs(tokens: number): number {
    return tokens * this.promptTokenMs.value;
  }

  /** Median time to produce that many output tokens. */
  outputMs(tokens: number): number {
    return tokens * this.outputTokenMs.value;
  }

  /** 97th percentile of the time to produce that many output tokens. */
  p97OutputMs(tokens: number): number {
    return tokens * this.p97OutputTokenMs.value;
  }

  /** Time within which that many output tokens are almost certainly produced. */
  maxExpectedOutputMs(tokens: number): number {
    return this.p97OutputMs(tokens) * MAX_EXPECTED_FACTOR;
  }
}
