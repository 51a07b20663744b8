import {FailureKind, mayHaveRun, notRun, Verdict} from '@lilacledge/shared';
import type {Failure} from '@lilacledge/shared';

/** Retry delay that a caller gets when no endpoint can be reached. */
export const NO_ENDPOINT_RETRY_AFTER_MS = 1_000;

/** Kinds of failure after which another endpoint may be tried. */
export const RETRYABLE_FAILURES: ReadonlySet<FailureKind> = new Set([
  FailureKind.DRAINING,
  FailureKind.OVERLOADED,
  FailureKind.LINK_LOST,
  FailureKind.ENDPOINT_FAILED,
  FailureKind.CANCELLED,
]);

/**
 * Combines two failures of one request: if the earlier attempt may have run, so
 * may the request.
 */
export function keepUncertainVerdict(
  earlier: Failure | undefined,
  later: Failure,
): Failure {
  if (earlier?.verdict !== Verdict.MAY_HAVE_RUN) return later;
  return {...later, verdict: Verdict.MAY_HAVE_RUN};
}

export function noEndpointFailure(service: string): Failure {
  return notRun(
    FailureKind.NO_ENDPOINT,
    `no endpoint of ${service} takes new work`,
    NO_ENDPOINT_RETRY_AFTER_MS,
  );
}

export function resumeRefusedFailure(detail: string): Failure {
  return notRun(FailureKind.RESUME_REFUSED, detail);
}

export function endpointGoneFailure(): Failure {
  return mayHaveRun(
    FailureKind.RESUME_REFUSED,
    'the endpoint of this generation is gone',
    NO_ENDPOINT_RETRY_AFTER_MS,
  );
}
