/** The graceful shutdown of a process; both times are Infinity while none was requested. */
export interface ShutdownTimes {
  readonly beganAtMs: number;
  /** When the process ends the requests that are still open. */
  readonly endsAtMs: number;
}

/** How long the work of one request takes from now on. */
export interface WorkDuration {
  readonly expectedMs: number;
  /** No later than this the work is done, or its caller has stopped waiting. */
  readonly longestMs: number;
}

/**
 * Time after which only work that is certain to finish may begin. Load balancers have seen the
 * shutdown by then, so that callers who are refused reach other processes.
 */
const CERTAINTY_AFTER_MS = 2_500;

/** In a short grace period, estimates are trusted for this part of it only. */
const MAX_ESTIMATED_SHARE = 1 / 3;

/** A plain call that arrives at a process during its graceful shutdown. */
export interface ShutdownCall {
  /** Undefined while nothing is known of the service's calls. */
  readonly expectedMs: number | undefined;
  readonly timeLeftMs: number;
  /** False for a call that is lost if it is interrupted, as it may have taken effect. */
  readonly mayRunAgain: boolean;
}

/** How long a call takes; only one that may run again goes by an estimate. */
export function callDuration({
  expectedMs,
  timeLeftMs,
  mayRunAgain,
}: ShutdownCall): WorkDuration {
  const estimateMs = mayRunAgain ? expectedMs : undefined;
  return {expectedMs: estimateMs ?? timeLeftMs, longestMs: timeLeftMs};
}

/**
 * Whether a process may begin this work now. A request that is refused can be served elsewhere
 * at once; one that is interrupted by the exit is lost, and may have taken effect.
 */
export function mayBegin(
  {beganAtMs, endsAtMs}: ShutdownTimes,
  nowMs: number,
  {expectedMs, longestMs}: WorkDuration,
): boolean {
  if (endsAtMs === Infinity) return true;
  const estimatesForMs = Math.min(
    CERTAINTY_AFTER_MS,
    (endsAtMs - beganAtMs) * MAX_ESTIMATED_SHARE,
  );
  const isEstimated = nowMs <= beganAtMs + estimatesForMs;
  const neededMs = isEstimated ? Math.min(expectedMs, longestMs) : longestMs;
  return nowMs + neededMs <= endsAtMs;
}
