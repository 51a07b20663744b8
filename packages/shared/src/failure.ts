import {Verdict} from './verdict.js';

/** Every way in which a request can end without its answer. */
export const FailureKind = {
  BAD_REQUEST: 'badRequest',
  UNAUTHENTICATED: 'unauthenticated',
  NOT_FOUND: 'notFound',
  TOO_LARGE: 'tooLarge',
  KEY_MISSING: 'keyMissing',
  KEY_REUSED: 'keyReused',
  KEY_UNDECIDABLE: 'keyUndecidable',
  KEY_HOME_UNAVAILABLE: 'keyHomeUnavailable',
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

/** A final, typed answer in place of a result. */
export interface Failure {
  readonly kind: FailureKind;
  /** Says whether this one request may have run. */
  readonly verdict: Verdict;
  /** One short sentence for people; carries no secret. */
  readonly detail: string;
  /** When the caller should come back, if coming back can help. */
  readonly retryAfterMs?: number;
}

/** Builds a failure that is known not to have run. */
export function notRun(
  kind: FailureKind,
  detail: string,
  retryAfterMs?: number,
): Failure {
  return {kind, verdict: Verdict.NOT_RUN, detail, retryAfterMs};
}

/** Builds a failure whose request may have run. */
export function mayHaveRun(
  kind: FailureKind,
  detail: string,
  retryAfterMs?: number,
): Failure {
  return {kind, verdict: Verdict.MAY_HAVE_RUN, detail, retryAfterMs};
}

/** Carries a failure through code that throws. */
export class FailureError extends Error {
  constructor(readonly failure: Failure) {
    super(`${failure.kind}: ${failure.detail}`);
    this.name = 'FailureError';
  }
}

const FAILURE_KINDS: ReadonlySet<unknown> = new Set(Object.values(FailureKind));

/** True for a word of `FailureKind`. */
export function isFailureKind(value: unknown): value is FailureKind {
  return FAILURE_KINDS.has(value);
}
