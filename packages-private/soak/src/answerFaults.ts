import {createRandom} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';
import type {PlannedFault} from './faultPlan.js';

/** An endpoint says something of itself in each of its answers. */
export type AnswerFault =
  /** Requests a second that it takes from all entries. */
  | {readonly kind: 'endpointNamesRate'; readonly perS: number}
  /** It leaves, and the store hears of it later. */
  | {readonly kind: 'endpointSaysLeave'}
  /** It rejects all that it gets, and asks for rest each time. */
  | {readonly kind: 'endpointAsksRest'; readonly restS: number};

/** Rates that endpoints name, some below one request in a window. */
const RATES_PER_S = [0, 0.05, 0.5, 1.9, 2.9, 6, 12] as const;

/** Part of the statements by which an endpoint leaves. */
const LEAVE_SHARE = 0.2;

/** Part of the statements that ask for rest. */
const REST_SHARE = 0.3;

/** Rests that endpoints ask for; within the first nothing is judged. */
const RESTS_S = [0.4, 1.5, 3] as const;

/** Mean pause between the beginnings of two statements. */
const MEAN_GAP_MS = 350;

/** Statements last for some time between these. */
const SHORTEST_MS = 500;
const LONGEST_MS = 9_000;

/** Mean pause between two entries that end and start anew. */
const MEAN_END_GAP_MS = 2_500;

/** Apart from other faults, so that a seed's own faults stay what they were. */
const SEED_OFFSET = 5_000_011;

/** What endpoints say of themselves in their answers, while entries end and start anew. */
export function planAnswerFaults(
  seed: number,
  durationMs: number,
): PlannedFault[] {
  const random = createRandom(seed + SEED_OFFSET);
  const statements = drawTimes(random, MEAN_GAP_MS, durationMs).map(
    (atMs): PlannedFault => ({
      what: drawStatement(random),
      atMs,
      forMs: Math.round(SHORTEST_MS + random() * (LONGEST_MS - SHORTEST_MS)),
      target: Math.floor(random() * 1_000),
    }),
  );
  const ends = drawTimes(random, MEAN_END_GAP_MS, durationMs).map(
    (atMs): PlannedFault => ({
      what: {kind: random() < 0.5 ? 'entryKilled' : 'entryStopped'},
      atMs,
      forMs: 0,
      target: Math.floor(random() * 1_000),
    }),
  );
  return [...statements, ...ends].sort((a, b) => a.atMs - b.atMs);
}

function drawStatement(random: Random): AnswerFault {
  const draw = random();
  if (draw < LEAVE_SHARE) return {kind: 'endpointSaysLeave'};
  if (draw < LEAVE_SHARE + REST_SHARE) {
    return {kind: 'endpointAsksRest', restS: drawn(random, RESTS_S)};
  }
  return {kind: 'endpointNamesRate', perS: drawn(random, RATES_PER_S)};
}

/** Times in a span whose gaps are exponential around a mean. */
function drawTimes(random: Random, meanMs: number, untilMs: number): number[] {
  const times: number[] = [];
  const nextMs = (): number => -Math.log(1 - random()) * meanMs;
  for (let atMs = nextMs(); atMs < untilMs; atMs += nextMs()) {
    times.push(Math.round(atMs));
  }
  return times;
}

function drawn<T>(random: Random, values: readonly T[]): T {
  return values[Math.floor(random() * values.length)]!;
}
