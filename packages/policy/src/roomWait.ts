import type {Random} from '@lilacledge/shared';
import {drawRetryAround} from './returnTime.js';
import type {Refusal} from './returnTime.js';

/** A generation that found no room at any engine, at the time of the decision. */
export interface RoomRequest {
  /** Time until it is admitted, at the rate at which the queue drains. */
  readonly expectedWaitMs: number;
  /** How long it has been waiting. */
  readonly waitedMs: number;
  /** How long generations of its class have been short of room. */
  readonly shortForMs: number;
  /** Time of its prefill on an idle engine. */
  readonly prefillMs: number;
  /** Time until its first event misses the latency goal; negative once it has. */
  readonly goalLeftMs: number;
  /** True for a route that can wait for urgent ones. */
  readonly canWait?: boolean;
}

export type RoomDecision = {readonly kind: 'wait'} | Refusal;

/**
 * Smallest probability of meeting the latency goal at which a generation may wait. A
 * caller that waits in vain cannot try elsewhere in that time, and a generation that
 * is admitted late uses as much memory as one in time.
 */
const MIN_IN_TIME_CHANCE = 0.75;

/** Shortest time after which a refused caller may retry. */
const MIN_RETRY_AFTER_MS = 100;

/**
 * Decides whether a generation waits for room or is refused immediately.
 *
 * Prevents queues that are longer than callers wait, and retries that come too early.
 * The wait is modelled as exponential. Its mean is the longer of two forecasts: the
 * expected wait at the drain rate, and the time waited so far, because a wait that the
 * drain rate does not explain (a lower rank, a prompt that is too large) lasts about as
 * long again. A generation that can wait has only the first forecast: urgent ones go before it,
 * so how long it has waited tells how long their burst has lasted, and not that it has no
 * place. A generation is refused if the probability of meeting its goal
 * is too low. The retry time is the same forecast, but at least the duration of the
 * shortage so far: a caller that retries during the shortage is refused again and has
 * no third attempt.
 *
 * In the test's queue, with room for half of the load, as many generations meet the
 * goal as with a fixed wait of a fifth of the goal, and the others are refused in less
 * than half of the time.
 */
export function decideRoom(
  question: RoomRequest,
  random: Random,
): RoomDecision {
  const {prefillMs, goalLeftMs} = question;
  const inTime = chanceWithin(goalLeftMs - prefillMs, forecastWaitMs(question));
  if (inTime >= MIN_IN_TIME_CHANCE) return {kind: 'wait'};
  return drawRetryAround(forecastReturnMs(question), random);
}

/** When room is likely to be free for a caller that is refused. */
export function forecastReturnMs(question: RoomRequest): number {
  const forecastMs = forecastWaitMs(question);
  return Math.max(MIN_RETRY_AFTER_MS, forecastMs, question.shortForMs);
}

function forecastWaitMs(question: RoomRequest): number {
  const {canWait, expectedWaitMs, waitedMs} = question;
  return canWait ? expectedWaitMs : Math.max(expectedWaitMs, waitedMs);
}

function chanceWithin(timeMs: number, expectedMs: number): number {
  if (timeMs <= 0) return 0;
  return 1 - Math.exp(-timeMs / Math.max(1, expectedMs));
}
