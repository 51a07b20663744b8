/** An endpoint that can take a suspected request. */
export interface TrialCandidate {
  /** Memory of the work that a crash of the endpoint would lose. */
  readonly usedTokens: number;
  /** True while the endpoint is avoided because of its own failures. */
  readonly isDoubted: boolean;
}

/**
 * Chooses the endpoint with the least work for the retry of a suspected request; undefined if
 * no endpoint can take it.
 *
 * If the request does crash endpoints, all other work of the endpoint is lost too, and one
 * more endpoint crashes before the request is quarantined. A longer wait for the first event costs only the
 * request itself, which is less likely than others to get one.
 */
export function chooseTrialEndpoint<T extends TrialCandidate>(
  candidates: readonly T[],
): T | undefined {
  const trusted = candidates.filter(({isDoubted}) => !isDoubted);
  const eligible = trusted.length > 0 ? trusted : candidates;
  return [...eligible].sort((a, b) => a.usedTokens - b.usedTokens)[0];
}
