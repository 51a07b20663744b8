import {assertNever} from '@lilacledge/shared';

/** How a request was served, as its caller judges it. */
export const ServingResult = {
  IN_TIME: 'inTime',
  LATE: 'late',
  /** Not run; the caller was told so. */
  REFUSED: 'refused',
  /** Cut, answered with an error, or possibly run without an answer. */
  FAILED: 'failed',
  /** The caller left first, which says nothing about the service. */
  LEFT: 'left',
} as const;
export type ServingResult = (typeof ServingResult)[keyof typeof ServingResult];

/** How a request ended. */
export type ServingEnd = 'served' | 'refused' | 'failed' | 'left';

/** Measured times of a served request. */
export interface ServingTimes {
  /** Time to the answer, or to the first event of a stream. */
  readonly firstMs: number;
  /** 0 for an answer that is not a stream. */
  readonly longestPauseMs: number;
}

/** What the route of a request promises. */
export interface ServingGoals {
  readonly latencyGoalMs: number;
  readonly pauseGoalMs?: number;
}

/** Returns how a request counts; a served one is in time only if it met all goals. */
export function servingResult(
  end: ServingEnd,
  {firstMs, longestPauseMs}: ServingTimes,
  {latencyGoalMs, pauseGoalMs = Number.POSITIVE_INFINITY}: ServingGoals,
): ServingResult {
  switch (end) {
    case 'served': {
      const isInTime =
        firstMs <= latencyGoalMs && longestPauseMs <= pauseGoalMs;
      return isInTime ? ServingResult.IN_TIME : ServingResult.LATE;
    }
    case 'refused':
      return ServingResult.REFUSED;
    case 'failed':
      return ServingResult.FAILED;
    case 'left':
      return ServingResult.LEFT;
    default:
      return assertNever(end);
  }
}
