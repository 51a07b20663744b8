import {createRandom} from '@lilacledge/shared';
import type {Fault, PlannedFault} from './faultPlan.js';

/** A fault that matters together with others. */
export type CombinedFault =
  /** The open connections of all programs to the store fall silent; new ones work. */
  | {readonly kind: 'storeConnectionsSilent'}
  /** Engines take long until the first event and between events. */
  | {readonly kind: 'enginesSlow'};

/** Time between two rounds, in which entries settle and endpoints are replaced. */
const ROUND_MS = 11_000;

/** Entries keep idle connections once they have been serving for a while. */
const FIRST_ROUND_MS = 4_000;

/** How much later than planned a fault may come. */
const JITTER_MS = 150;

/** Gives these faults a seed of their own, so that a seed's other faults stay the same. */
const SEED_OFFSET = 5_000_011;

interface RoundFault {
  readonly what: Fault;
  readonly afterMs: number;
  readonly forMs: number;
}

const ROUNDS: ReadonlyArray<readonly RoundFault[]> = [
  [
    {what: {kind: 'storeConnectionsSilent'}, afterMs: 0, forMs: 0},
    {what: {kind: 'configChange'}, afterMs: 200, forMs: 0},
    {what: {kind: 'serviceLeaves'}, afterMs: 850, forMs: 0},
  ],
  [
    {what: {kind: 'enginesSlow'}, afterMs: 0, forMs: 5_000},
    {what: {kind: 'engineLeaves'}, afterMs: 900, forMs: 0},
    {what: {kind: 'engineLeaves'}, afterMs: 1_900, forMs: 0},
  ],
  [
    {what: {kind: 'storeDownWithLapse'}, afterMs: 0, forMs: 1_500},
    {what: {kind: 'allEntriesKilled'}, afterMs: 700, forMs: 0},
    {what: {kind: 'allEntriesKilled'}, afterMs: 4_200, forMs: 0},
    {what: {kind: 'allEntriesKilled'}, afterMs: 7_700, forMs: 0},
  ],
];

/** Plans rounds of combined faults, each kind of round in turn. */
export function planCombinedFaults(
  seed: number,
  durationMs: number,
): PlannedFault[] {
  const random = createRandom(seed + SEED_OFFSET);
  const faults: PlannedFault[] = [];
  for (let round = 0; ; round++) {
    const startMs = FIRST_ROUND_MS + round * ROUND_MS;
    if (startMs >= durationMs) return faults;
    const target = Math.floor(random() * 1_000);
    for (const {what, afterMs, forMs} of ROUNDS[round % ROUNDS.length]!) {
      const atMs = Math.round(startMs + afterMs + random() * JITTER_MS);
      faults.push({what, atMs, forMs, target: target + faults.length});
    }
  }
}
