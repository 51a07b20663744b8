import {FailureKind, mayHaveRun, notRun, Verdict} from '@lilacledge/shared';
import type {Failure} from '@lilacledge/shared';

/** When to come back to a service without an endpoint. */
export const NO_ENDPOINT_RETRY_MS = 1_000;

/** Failures after which another endpoint may be tried. */
export const RETRYABLE: ReadonlySet<FailureKind> = new Set([
  FailureKind.DRAINING,
  FailureKind.OVERLOADED,
  FailureKind.LINK_LOST,
  FailureKind.ENDPOINT_FAILED,
  FailureKind.CANCELLED,
]);

/** Of two failures of one request, the verdict that claims less stays. */
export function worse(earlier: Failure | undefined, later: Failure): Failure {
  if (earlier?.verdict !== Verdict.MAY_HAVE_RUN) return later;
  return {...later, verdict: Verdict.MAY_HAVE_RUN};
}

export function noEndpoint(service: string): Failure {
  return notRun(
    FailureKind.NO_ENDPOINT,
    `no endpoint of ${service} takes new work`,
    NO_ENDPOINT_RETRY_MS,
  );
}

export function refusedResume(detail: string): Failure {
  return notRun(FailureKind.RESUME_REFUSED, detail);
}

export function goneGeneration(): Failure {
  return mayHaveRun(
    FailureKind.RESUME_REFUSED,
    'the endpoint of this generation is gone',
    NO_ENDPOINT_RETRY_MS,
  );
}
