import type {Attempt} from './soakEvent.js';

/** Whether an attempt was served as a whole. */
export function isSuccessful({status, isComplete}: Attempt): boolean {
  return status === 200 && isComplete;
}

/** Describes an attempt for a violation. */
export function describeAttempt(attempt: Attempt): string {
  const {kind, requestId, entry, status, isComplete} = attempt;
  const tookMs = Math.round(attempt.endedAtMs - attempt.sentAtMs);
  return `${kind} ${requestId} at ${entry}: ${status}, ${isComplete ? 'complete' : 'cut'}, ${tookMs} ms`;
}

/** Whether an attempt is a draft that was read late and complete. */
export function isSlowRead(attempt: Attempt): boolean {
  return isSuccessful(attempt) && attempt.requestId.includes('-slow-');
}
