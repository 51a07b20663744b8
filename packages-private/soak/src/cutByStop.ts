import {ROUTE_TIMEOUT_MS} from './ledger.js';
import {RequestKind} from './soakEvent.js';
import type {Attempt} from './soakEvent.js';
import {GRACE_S} from './soakPrograms.js';

/** Clients may still send requests to a process for this long after its stop signal. */
const MAX_ACCEPT_AFTER_STOP_MS = 3_000;

/**
 * True when the stop of the entry cut the answer off, or left a request without an answer that was
 * sent before the stop. What the route's timeout ended does not count.
 */
export function isCutByStop(attempt: Attempt, stoppedAtMs: number): boolean {
  if (attempt.endedAtMs - attempt.sentAtMs >= ROUTE_TIMEOUT_MS[attempt.kind]) {
    return false;
  }
  if (wasRunningAtGraceEnd(attempt, stoppedAtMs)) return false;
  if (attempt.status !== 0) return !attempt.isComplete;
  return attempt.sentAtMs < stoppedAtMs;
}

/**
 * True for a draft that was sent soon after the stop and still ran in the last sixth of the grace
 * period: the requirements exempt it.
 */
function wasRunningAtGraceEnd(attempt: Attempt, stoppedAtMs: number): boolean {
  const {kind, sentAtMs, endedAtMs} = attempt;
  const lastSixthMs = stoppedAtMs + GRACE_S * 1_000 * (5 / 6);
  return (
    kind === RequestKind.DRAFT &&
    sentAtMs <= stoppedAtMs + MAX_ACCEPT_AFTER_STOP_MS &&
    endedAtMs >= lastSixthMs
  );
}
