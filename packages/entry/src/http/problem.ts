import type {FailureKind} from '@lilacledge/shared';
import type {Failure} from '@lilacledge/shared';

/** HTTP status code of each kind of failure. */
const STATUS_BY_KIND: Readonly<Record<FailureKind, number>> = {
  badRequest: 400,
  unauthenticated: 401,
  notFound: 404,
  tooLarge: 413,
  keyMissing: 400,
  keyReused: 422,
  keyUndecidable: 409,
  keyHomeUnavailable: 503,
  keyFromFuture: 400,
  limitReached: 429,
  overloaded: 503,
  draining: 503,
  noEndpoint: 503,
  notReady: 503,
  linkLost: 502,
  endpointFailed: 502,
  resumeRefused: 410,
  superseded: 409,
  cancelled: 502,
};

/** A failure as a problem document (RFC 9457) with extension members. */
export interface Problem {
  readonly type: string;
  readonly title: FailureKind;
  readonly status: number;
  readonly detail: string;
  /** Whether this one request may have run. */
  readonly verdict: Failure['verdict'];
  readonly requestId: string;
  readonly retryAfterMs?: number;
}

/** Converts a failure to a problem document. */
export function toProblem(failure: Failure, requestId: string): Problem {
  return {
    type: `urn:lilacledge:problem:${failure.kind}`,
    title: failure.kind,
    status: STATUS_BY_KIND[failure.kind],
    detail: failure.detail,
    verdict: failure.verdict,
    requestId,
    ...(failure.retryAfterMs == null
      ? {}
      : {retryAfterMs: Math.ceil(failure.retryAfterMs)}),
  };
}

/** Builds the HTTP response for a failure. */
export function toProblemResponse(
  failure: Failure,
  requestId: string,
): Response {
  const problem = toProblem(failure, requestId);
  const headers = new Headers({
    'content-type': 'application/problem+json',
    'x-request-id': requestId,
  });
  if (failure.retryAfterMs != null) {
    const seconds = Math.max(1, Math.ceil(failure.retryAfterMs / 1000));
    headers.set('retry-after', String(seconds));
  }
  // Common completions clients read `error.message`.
  const error = {
    message: failure.detail,
    type: failure.kind,
    code: failure.kind,
  };
  return new Response(JSON.stringify({...problem, error}), {
    status: problem.status,
    headers,
  });
}
