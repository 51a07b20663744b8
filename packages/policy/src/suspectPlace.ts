/** What is known of one endpoint that can take a request. */
export interface SuspectPlace {
  /** Memory of the work that would end with the endpoint. */
  readonly usedTokens: number;
  /** True for one that is avoided for its own failures. */
  readonly isDoubted: boolean;
}

/**
 * Where a suspected request is tried again: beside the least work of others; undefined where
 * nothing can take it.
 *
 * Answers the pattern of a trial that fails: if the request does end endpoints, all that runs
 * beside it is lost, and there is one more end before it is given up. Waiting longer for
 * its first event costs only the request itself, which is more likely than others to have none.
 */
export function suspectPlace<T extends SuspectPlace>(
  places: readonly T[],
): T | undefined {
  const sound = places.filter(({isDoubted}) => !isDoubted);
  const eligible = sound.length > 0 ? sound : places;
  return [...eligible].sort((a, b) => a.usedTokens - b.usedTokens)[0];
}
