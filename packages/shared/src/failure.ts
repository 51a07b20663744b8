import {Verdict} from './verdict.js';

/** Reasons for a request to end without an answer. */
export const FailureKind = {
  BAD_REQUEST: 'badRequest',
  UNAUTHENTICATED: 'unauthenticated',
  NOT_FOUND: 'notFound',
  TOO_LARGE: 'tooLarge',
  KEY_MISSING: 'keyMissing',
  KEY_REUSED: 'keyReused',
  KEY_UNDECIDABLE: 'keyUndecidable',
  KEY_OWNER_UNAVAILABLE: 'keyHomeUnavailable',
  KEY_FROM_FUTURE: 'keyFromFuture',
  LIMIT_REACHED: 'limitReached',
  OVERLOADED: 'overloaded',
  DRAINING: 'draining',
  NO_ENDPOINT: 'noEndpoint',
  NOT_READY: 'notReady',
  LINK_LOST: 'linkLost',
  ENDPOINT_FAILED: 'endpointFailed',
  RESUME_REFUSED: 'resumeRefused',
  SUPERSEDED: 'superseded',
  CANCELLED: 'cancelled',
} as const;

export type FailureKind = (typeof FailureKind)[keyof typeof FailureKind];

/** The final outcome of a request that has no result. */
export interface Failure {
  readonly kind: FailureKind;
  /** Whether this request may have run. */
  readonly verdict: Verdict;
  /** A short sentence for the user; contains no secrets. */
  readonly detail: string;
  /** When the caller should retry, if a retry can help. */
  readonly retryAfterMs?: number;
}

/** Creates the failure of a request that has not run. */
export function notRun(
  kind: FailureKind,
  detail: string,
  retryAfterMs?: number,
): Failure {
  return {kind, verdict: Verdict.NOT_RUN, detail, retryAfterMs};
}

/** Creates the failure of a request that may have run. */
export function mayHaveRun(
  kind: FailureKind,
  detail: string,
  retryAfterMs?: number,
): Failure {
  return {kind, verdict: Verdict.MAY_HAVE_RUN, detail, retryAfterMs};
}

/** An exception that carries a failure. */
export class FailureError extends Error {
  constructor(readonly failure: Failure) {
    super(`${failure.kind}: ${failure.detail}`);
    this.name = 'FailureError';
  }
}

const FAILURE_KINDS: ReadonlySet<unknown> = new Set(Object.values(FailureKind));

/** Whether `value` is one of `FailureKind`. */
export function isFailureKind(value: unknown): value is FailureKind {
  return FAILURE_KINDS.has(value);
}
