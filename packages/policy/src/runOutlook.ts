/** Progress and expected length of a run whose engine is leaving. */
export interface RunOutlook {
  readonly requestId: string;
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  readonly producedTokens: number;
}

/**
 * Standard deviation of the logarithm of the actual output length around the caller's
 * estimate; both deployments specify 1.2.
 */
const ESTIMATE_LOG_STD_DEV = 1.2;

/** Value of an output token; a prompt token has a value of 1 (rules of credit). */
const OUTPUT_TOKEN_VALUE = 10;

/**
 * Probability that a run produces at least `further` more tokens, given those it has
 * produced. Output lengths are modelled as log-normal around the caller's estimate.
 */
export function chanceToContinue(
  run: RunOutlook,
  furtherTokens: number,
): number {
  const now = survival(run.producedTokens, run.expectedOutputTokens);
  if (now < 1e-6) return 1;
  const later = survival(
    run.producedTokens + furtherTokens,
    run.expectedOutputTokens,
  );
  return later / now;
}

/** Steps of a bisection over lengths, to within a thousandth of the range. */
const BISECTION_STEPS = 24;

/** No output is expected to become longer than this many times the estimate. */
const MAX_LENGTH_FACTOR = 64;

/** Number of further tokens that the run produces at least with the given probability. */
export function remainingTokens(run: RunOutlook, chance: number): number {
  const {producedTokens, expectedOutputTokens} = run;
  let low = 0;
  let high =
    MAX_LENGTH_FACTOR * Math.max(1, producedTokens, expectedOutputTokens);
  for (let step = 0; step < BISECTION_STEPS; step++) {
    const middle = (low + high) / 2;
    if (chanceToContinue(run, middle) >= chance) low = middle;
    else high = middle;
  }
  return low;
}

/** Expected loss of value if the run is not moved, per token to be copied. */
export function valueAtRisk(run: RunOutlook, furtherTokens: number): number {
  const output = Math.max(run.expectedOutputTokens, run.producedTokens);
  const value = run.promptTokens + OUTPUT_TOKEN_VALUE * output;
  const cost = Math.max(1, run.promptTokens + run.producedTokens);
  return (value * chanceToContinue(run, furtherTokens)) / cost;
}

/**
 * The run to move first: the one with the largest expected loss per copied token.
 * `tokenMs` is the time in which a run in a batch produces one token. Undefined if
 * there are no runs.
 */
export function mostAtRisk(
  runs: readonly RunOutlook[],
  noticeMs: number,
  tokenMs: number,
): RunOutlook | undefined {
  const further = noticeMs / tokenMs;
  let chosen: RunOutlook | undefined;
  let most = 0;
  for (const run of runs) {
    const risk = valueAtRisk(run, further);
    if (risk <= most) continue;
    most = risk;
    chosen = run;
  }
  return chosen;
}

/** Probability that an output is longer than `tokens`. */
function survival(tokens: number, median: number): number {
  if (tokens <= 0) return 1;
  const z = Math.log(tokens / Math.max(1, median)) / ESTIMATE_LOG_STD_DEV;
  return 1 / (1 + Math.exp(1.5976 * z + 0.07056 * z ** 3));
}
