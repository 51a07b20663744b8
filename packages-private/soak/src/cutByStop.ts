import {ROUTE_TIMEOUT_MS} from './ledger.js';
import {AskKind} from './soakEvent.js';
import type {Attempt} from './soakEvent.js';
import {GRACE_S} from './soakFleet.js';

/** A stopped process may still be sent requests for this long (stated). */
const TAKEN_AFTER_STOP_MS = 3_000;

/**
 * True for an answer that broke off, or none to what was sent before the stop, unless the route's
 * timeout ended it (stated).
 */
export function isCutByStop(attempt: Attempt, stoppedAtMs: number): boolean {
  if (attempt.endedAtMs - attempt.sentAtMs >= ROUTE_TIMEOUT_MS[attempt.kind]) {
    return false;
  }
  if (wasAtWorkAtTheEnd(attempt, stoppedAtMs)) return false;
  if (attempt.status !== 0) return !attempt.isComplete;
  return attempt.sentAtMs < stoppedAtMs;
}

/**
 * True for a draft that was sent soon after the stop and whose engine was still at work
 * in the last sixth of the grace: the users do not count it (stated).
 */
function wasAtWorkAtTheEnd(attempt: Attempt, stoppedAtMs: number): boolean {
  const {kind, sentAtMs, endedAtMs} = attempt;
  const lastSixthMs = stoppedAtMs + GRACE_S * 1_000 * (5 / 6);
  return (
    kind === AskKind.DRAFT &&
    sentAtMs <= stoppedAtMs + TAKEN_AFTER_STOP_MS &&
    endedAtMs >= lastSixthMs
  );
}
