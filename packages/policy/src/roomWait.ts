import type {Random} from '@lilacledge/shared';
import {refuseUntil} from './returnTime.js';
import type {Refusal} from './returnTime.js';

/** A generation that found no room at any engine. */
export interface RoomQuestion {
  /** Time until those ahead and this one are admitted, as the queue drains. */
  readonly expectedWaitMs: number;
  /** How long it has waited. */
  readonly waitedMs: number;
  /** How long room has been short, for whomever. */
  readonly shortForMs: number;
  /** Time in which an engine reads its prompt, when it has nothing else to do. */
  readonly readMs: number;
  /** Time until its first event would be late; negative once it is. */
  readonly goalLeftMs: number;
}

export type RoomDecision = {readonly kind: 'wait'} | Refusal;

/**
 * A caller is kept for an answer in time that comes in three of four cases. What
 * is held in vain cannot be asked elsewhere meanwhile, and one that is admitted
 * late holds its memory as long as one in time.
 */
const IN_TIME_CHANCE = 0.75;

/** Shortest time after which room is looked for again, in milliseconds. */
const LEAST_RETURN_MS = 100;

/**
 * Decides whether a generation waits for room or is refused now.
 *
 * Answers the patterns of a queue that is longer than its callers' patience and
 * of refused callers who return too early: nobody is held for a hope below the
 * stated chance. A caller is told to return after the same forecast, but not before
 * the shortage has lasted as long again as it has: who returns into it is refused
 * once more, and has no third try. The wait is taken as
 * exponential around the longer of two forecasts, in milliseconds: the queue's
 * drain, and the time already waited, as a wait that the drain does not explain
 * (a lower rank, one prompt too large) lasts about as long again.
 *
 * By the test's queue, with room for half of what comes, as many are served in
 * time as by a fixed wait of a fifth of the goal, and the others are refused in
 * less than half of the time.
 */
export function decideRoom(
  question: RoomQuestion,
  random: Random,
): RoomDecision {
  const {waitedMs, readMs, goalLeftMs} = question;
  const forecastMs = Math.max(question.expectedWaitMs, waitedMs);
  const inTime = chanceWithin(goalLeftMs - readMs, forecastMs);
  if (inTime >= IN_TIME_CHANCE) return {kind: 'wait'};
  const returnMs = Math.max(LEAST_RETURN_MS, forecastMs, question.shortForMs);
  return refuseUntil(returnMs, random);
}

function chanceWithin(timeMs: number, expectedMs: number): number {
  if (timeMs <= 0) return 0;
  return 1 - Math.exp(-timeMs / Math.max(1, expectedMs));
}
