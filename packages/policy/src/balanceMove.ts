import {remainingTokens} from './runOutlook.js';
import type {RunOutlook} from './runOutlook.js';

/** A missed pause costs a run as much as a failure does in the choice of its engine. */
const MISSED_PAUSE_COST_MS = 2_000;

/** Smallest gain of a move: some moves fail, and each costs one continuation of the budget. */
const MIN_GAIN = 0.05;

/** A run that has produced fewer events may still be delayed by its prefill. */
const FIRST_EVENTS = 4;

/** A run that will likely produce fewer events has little left to gain. */
const LAST_EVENTS = 16;

/** Probabilities with which a run is longer than the lengths that the gain is averaged over. */
const LENGTH_CHANCES = [0.9, 0.7, 0.5, 0.3, 0.1];

const MEDIAN = 0.5;

/** What is expected of a run at one engine. */
export interface RunPlace {
  /** Time between two events. */
  readonly eventGapMs: number;
  /** Probability that this many events have a pause over the goal of the route. */
  missChance(events: number): number;
}

/** A run, the engine that it is at, and one that it could be moved to. */
export interface BalanceCandidate {
  readonly outlook: RunOutlook;
  readonly tokensPerEvent: number;
  readonly here: RunPlace;
  readonly there: RunPlace;
  /** Time of the copy, during which the run goes on. */
  readonly copyMs: number;
  /** Time in which the run produces nothing while it is handed over. */
  readonly handoverMs: number;
  /** Probability that the pause of the hand-over is over the goal. */
  readonly handoverMissChance: number;
}

/**
 * By how much a move raises the probability that a run keeps its pauses, after its cost;
 * 0 if the run should stay. It is averaged over the lengths that the run may have, given
 * what it has produced.
 *
 * Serves runs at engines that turned out too slow for them: an engine with a gap of 72 ms
 * misses a pause of 180 ms in each slow interval, and a long run there misses one nearly
 * always, while a fast engine with room would keep them all.
 */
export function balanceGain(candidate: BalanceCandidate): number {
  const {outlook, tokensPerEvent, copyMs, handoverMs} = candidate;
  if (outlook.producedTokens < FIRST_EVENTS * tokensPerEvent) return 0;
  const likelyTokens = remainingTokens(outlook, MEDIAN);
  if (likelyTokens < LAST_EVENTS * tokensPerEvent) return 0;
  let keptMore = 0;
  for (const chance of LENGTH_CHANCES) {
    const events = remainingTokens(outlook, chance) / tokensPerEvent;
    keptMore += keptMoreOften(candidate, events) / LENGTH_CHANCES.length;
  }
  const gain = keptMore - (copyMs + handoverMs) / MISSED_PAUSE_COST_MS;
  return gain >= MIN_GAIN ? gain : 0;
}

/** Difference in the probability to keep the pauses of this many further events. */
function keptMoreOften(candidate: BalanceCandidate, events: number): number {
  const {here, there, copyMs, handoverMissChance} = candidate;
  const eventsDuringCopy = copyMs / here.eventGapMs;
  if (eventsDuringCopy >= events) return 0;
  const keptAfterMove =
    (1 - here.missChance(eventsDuringCopy)) *
    (1 - handoverMissChance) *
    (1 - there.missChance(events - eventsDuringCopy));
  return keptAfterMove - (1 - here.missChance(events));
}
