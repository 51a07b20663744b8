import {createRandom} from '@lilacledge/shared';
import type {PlannedFault} from './faultPlan.js';

/** What puts in doubt who an endpoint is. */
export type IdentityFault =
  | {readonly kind: 'engineStartsAgain'; readonly leavesFirst: boolean}
  | {readonly kind: 'serviceStartsAgain'; readonly leavesFirst: boolean}
  | {readonly kind: 'strangeEntry'; readonly value: string};

/** Entries of other writers, as the store may hold them for a while. */
const STRANGE_VALUES: readonly string[] = [
  '',
  '{}',
  '[]',
  'no entry',
  '{"service":"bookings","state":"ready"}',
  '{"service":"bookings","address":7,"zone":"north","slots":-1}',
];

/** Mean pause between two of these, and how long they last at most. */
const MEAN_GAP_MS = 2_500;
const LONGEST_MS = 3_000;

/** Apart from other faults, so that a seed's own faults stay what they were. */
const SEED_OFFSET = 1_000_003;

/** Identity faults of one run, in order of time; the same for the same seed. */
export function planIdentityFaults(
  seed: number,
  durationMs: number,
): PlannedFault[] {
  const random = createRandom(seed + SEED_OFFSET);
  const faults: PlannedFault[] = [];
  const nextMs = (): number => -Math.log(1 - random()) * MEAN_GAP_MS;
  for (let atMs = nextMs(); atMs < durationMs; atMs += nextMs()) {
    const drawn = random();
    const value = STRANGE_VALUES[Math.floor(drawn * STRANGE_VALUES.length)]!;
    const leavesFirst = drawn < 0.5;
    const kinds: readonly IdentityFault[] = [
      {kind: 'engineStartsAgain', leavesFirst},
      {kind: 'serviceStartsAgain', leavesFirst},
      {kind: 'strangeEntry', value},
    ];
    faults.push({
      what: kinds[Math.floor(random() * kinds.length)]!,
      atMs: Math.round(atMs),
      forMs: Math.round(random() * LONGEST_MS),
      target: Math.floor(random() * 1_000),
    });
  }
  return faults;
}
