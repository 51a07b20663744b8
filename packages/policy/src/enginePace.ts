import {QuantileEstimate} from './quantileEstimate.js';

/** Half of the forecasts are too long, and half too short. */
const MEDIAN = 0.5;

/** Three outputs of a hundred come more slowly than this. */
const SLOW_QUANTILE = 0.97;

/** Engines may fill further while an output is made that must not be cut. */
const LONGEST_FACTOR = 2;

/**
 * What is assumed before answers come, in milliseconds a token, from the engines
 * served so far: a chunk of 112 prompt tokens in 16 ms beside other work; an output
 * token in 10 ms, and in 12.5 beside much other work.
 */
const PRIOR_PROMPT_TOKEN_MS = 1 / 7;
const PRIOR_OUTPUT_TOKEN_MS = 10;
const PRIOR_SLOW_OUTPUT_TOKEN_MS = 12.5;

/** Below these, the way there and a step's start weigh more than the tokens. */
const LEAST_READ_TOKENS = 200;
const LEAST_OUTPUT_TOKENS = 16;

/**
 * How fast the engines of one service work, as their own answers show it. It is
 * learned for each service and process, in constant memory; some forty answers
 * follow a change of pace by half.
 *
 * Answers the pattern of a forecast that is sized for other engines: who waits, who
 * is refused, which engine is taken and which run is moved first all ask how long
 * a prompt is read and an output made. On other engines than those it was set for, a
 * fixed pace is wrong for good.
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
  private readonly slowOutputTokenMs = new QuantileEstimate(
    SLOW_QUANTILE,
    PRIOR_SLOW_OUTPUT_TOKEN_MS,
  );

  constructor(
    /** False where the assumed pace is kept, whatever answers show. */
    private readonly isLearned = true,
  ) {}

  /** A first event came `tookMs` after a send, with `tokens` to be read before it. */
  noteRead(tokens: number, tookMs: number): void {
    if (!this.isLearned || tokens < LEAST_READ_TOKENS) return;
    this.promptTokenMs.note(tookMs / tokens);
  }

  /** A run made `tokens` in `tookMs`, without a pause for a move. */
  noteOutput(tokens: number, tookMs: number): void {
    if (!this.isLearned || tokens < LEAST_OUTPUT_TOKENS) return;
    this.outputTokenMs.note(tookMs / tokens);
    this.slowOutputTokenMs.note(tookMs / tokens);
  }

  /** Time until that many prompt tokens are read, in milliseconds. */
  readMs(tokens: number): number {
    return tokens * this.promptTokenMs.value;
  }

  /** Time that an output usually takes, in milliseconds. */
  outputMs(tokens: number): number {
    return tokens * this.outputTokenMs.value;
  }

  /** Time that all but three outputs of a hundred take, in milliseconds. */
  slowOutputMs(tokens: number): number {
    return tokens * this.slowOutputTokenMs.value;
  }

  /** Time in which an output is all but certainly made, in milliseconds. */
  longestOutputMs(tokens: number): number {
    return this.slowOutputMs(tokens) * LONGEST_FACTOR;
  }
}
