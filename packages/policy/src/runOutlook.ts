/** What is known of a run when its engine leaves. */
export interface RunOutlook {
  readonly requestId: string;
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  readonly producedTokens: number;
}

/**
 * Spread of the callers' estimates of their output around what comes, as the
 * standard deviation of the logarithm; both deployments state 1.2.
 */
const ESTIMATE_LOG_DEVIATION = 1.2;

/** A run is worth its prompt and ten times its output (rules of credit). */
const OUTPUT_WORTH = 10;

/**
 * Chance that a run, which has produced some tokens, goes on for `further`
 * more: its length is taken as log-normal around the caller's estimate.
 */
export function chanceToGoOn(run: RunOutlook, further: number): number {
  const now = survival(run.producedTokens, run.expectedOutputTokens);
  if (now < 1e-6) return 1;
  const later = survival(
    run.producedTokens + further,
    run.expectedOutputTokens,
  );
  return later / now;
}

/** Worth that is lost per token to be copied, if the run is left behind. */
export function worthAtRisk(run: RunOutlook, furtherTokens: number): number {
  const output = Math.max(run.expectedOutputTokens, run.producedTokens);
  const worth = run.promptTokens + OUTPUT_WORTH * output;
  const cost = Math.max(1, run.promptTokens + run.producedTokens);
  return (worth * chanceToGoOn(run, furtherTokens)) / cost;
}

/**
 * The run that loses most if it is left behind; undefined without runs. `tokenMs`
 * is the time in which a run produces a token beside others.
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
    const risk = worthAtRisk(run, further);
    if (risk <= most) continue;
    most = risk;
    chosen = run;
  }
  return chosen;
}

/** Chance that an output is longer than `tokens`. */
function survival(tokens: number, median: number): number {
  if (tokens <= 0) return 1;
  const z = Math.log(tokens / Math.max(1, median)) / ESTIMATE_LOG_DEVIATION;
  return 1 / (1 + Math.exp(1.5976 * z + 0.07056 * z ** 3));
}
