import {
  FailureKind,
  hash32,
  mayHaveRun,
  mintTimeMs,
  notRun,
} from '@lilacledge/shared';
import type {Failure} from '@lilacledge/shared';

/** Ownership of the idempotency keys of one slot that were created in [from, until). */
export interface KeyInterval {
  readonly slot: number;
  readonly fromWallMs: number;
  readonly untilWallMs: number;
}

/** Detail of the error for a key that no endpoint owns at present. */
export const KEY_UNOWNED_DETAIL =
  'no endpoint owns this key now; come back with it or, if it was never sent before, mint a new one';

/** When to retry with a key that no endpoint owns at present. */
export const KEY_UNOWNED_RETRY_MS = 1_000;

export type KeyDecision =
  | {readonly outcome: 'run'}
  | {readonly outcome: 'refuse'; readonly failure: Failure};

/**
 * Slots over which the keys of one service are distributed. Part of the protocol: a
 * process with another number would look up keys at the wrong owners.
 */
export const KEY_SLOTS = 24;

/** The slot of a key; the same in every process. */
export function slotOfKey(organisationId: string, key: string): number {
  return hash32(`${organisationId}|${key.toLowerCase()}`) % KEY_SLOTS;
}

export interface UnknownKeyQuery {
  readonly key: string;
  readonly interval: KeyInterval | undefined;
  /** Records of keys created before this may have been evicted. */
  readonly forgottenBeforeWallMs: number;
  readonly nowWallMs: number;
  /** Maximum accepted lead of a caller's clock. */
  readonly maxClockLeadMs: number;
}

/**
 * Decides whether a sidecar without a record of a key may run its request. The decision
 * depends only on the key's creation time and on the interval granted by the platform's
 * store, so it is right however long the sidecar was paused: the intervals of two sidecars
 * never overlap.
 */
export function decideUnknownKey(query: UnknownKeyQuery): KeyDecision {
  const createdMs = mintTimeMs(query.key);
  if (createdMs === undefined) {
    return refuse(
      notRun(FailureKind.KEY_MISSING, 'Idempotency-Key must be a UUIDv7'),
    );
  }
  if (createdMs > query.nowWallMs + query.maxClockLeadMs) {
    return refuse(
      notRun(
        FailureKind.KEY_FROM_FUTURE,
        'the key was minted in the future: check the clock of the caller',
        createdMs - query.nowWallMs,
      ),
    );
  }
  const interval = query.interval;
  if (interval === undefined || createdMs >= interval.untilWallMs) {
    return refuse(
      notRun(
        FailureKind.KEY_OWNER_UNAVAILABLE,
        KEY_UNOWNED_DETAIL,
        KEY_UNOWNED_RETRY_MS,
      ),
    );
  }
  const recordedFromMs = Math.max(
    interval.fromWallMs,
    query.forgottenBeforeWallMs,
  );
  if (createdMs < recordedFromMs) {
    return refuse(
      mayHaveRun(
        FailureKind.KEY_UNDECIDABLE,
        'the key is older than the record of its endpoint; it may have run',
      ),
    );
  }
  return {outcome: 'run'};
}

function refuse(failure: Failure): KeyDecision {
  return {outcome: 'refuse', failure};
}
