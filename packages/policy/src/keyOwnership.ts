import {
  FailureKind,
  hash32,
  mayHaveRun,
  mintTimeMs,
  notRun,
} from '@lilacledge/shared';
import type {Failure} from '@lilacledge/shared';

/** Ownership of the keys of one slot that were minted in [from, until). */
export interface KeyInterval {
  readonly slot: number;
  readonly fromWallMs: number;
  readonly untilWallMs: number;
}

/** Advice on a key that no endpoint owns at present. */
export const KEY_UNOWNED_DETAIL =
  'no endpoint owns this key now; come back with it or, if it was never sent before, mint a new one';

/** When to come back with a key that no endpoint owns at present. */
export const KEY_UNOWNED_RETRY_MS = 1_000;

export type KeyDecision =
  | {readonly outcome: 'run'}
  | {readonly outcome: 'refuse'; readonly failure: Failure};

/**
 * Slots that the keys of one service are spread over. Part of the protocol: a
 * process with another number would look for a key at another home.
 */
export const KEY_SLOTS = 24;

/** The slot that a key belongs to; the same at every process. */
export function slotOfKey(organisationId: string, key: string): number {
  return hash32(`${organisationId}|${key.toLowerCase()}`) % KEY_SLOTS;
}

export interface KeyQuestion {
  readonly key: string;
  readonly interval: KeyInterval | undefined;
  /** Keys minted before this may have been forgotten. */
  readonly forgottenBeforeWallMs: number;
  readonly nowWallMs: number;
  /** Largest accepted lead of a caller's clock. */
  readonly skewMs: number;
}

/**
 * Decides whether a sidecar that has no record of a key may run it. The answer
 * rests on the key's mint time and on the interval that the platform's store
 * granted, so that it stays right however long the sidecar was paused: two
 * sidecars never hold intervals that share a mint time.
 */
export function decideUnknownKey(question: KeyQuestion): KeyDecision {
  const mintedMs = mintTimeMs(question.key);
  if (mintedMs === undefined) {
    return refuse(
      notRun(FailureKind.KEY_MISSING, 'Idempotency-Key must be a UUIDv7'),
    );
  }
  if (mintedMs > question.nowWallMs + question.skewMs) {
    return refuse(
      notRun(
        FailureKind.KEY_FROM_FUTURE,
        'the key was minted in the future: check the clock of the caller',
        mintedMs - question.nowWallMs,
      ),
    );
  }
  const interval = question.interval;
  if (interval === undefined || mintedMs >= interval.untilWallMs) {
    return refuse(
      notRun(
        FailureKind.KEY_HOME_UNAVAILABLE,
        KEY_UNOWNED_DETAIL,
        KEY_UNOWNED_RETRY_MS,
      ),
    );
  }
  const knownFrom = Math.max(
    interval.fromWallMs,
    question.forgottenBeforeWallMs,
  );
  if (mintedMs < knownFrom) {
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
