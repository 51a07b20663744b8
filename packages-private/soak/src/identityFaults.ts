import {createRandom} from '@lilacledge/shared';
import type {PlannedFault} from './faultPlan.js';

/** A fault that leaves unclear which endpoint an id or a registration stands for. */
export type IdentityFault =
  | {readonly kind: 'engineStartsAgain'; readonly leavesFirst: boolean}
  | {readonly kind: 'serviceStartsAgain'; readonly leavesFirst: boolean}
  | {readonly kind: 'strangeEntry'; readonly value: string};

/** Registrations that another writer may have left in the store. */
const MALFORMED_REGISTRATIONS: readonly string[] = [
  '',
  '{}',
  '[]',
  'no entry',
  '{"service":"bookings","state":"ready"}',
  '{"service":"bookings","address":7,"zone":"north","slots":-1}',
];

/** Mean time between two of these faults, and their longest duration. */
const MEAN_GAP_MS = 2_500;
const MAX_DURATION_MS = 3_000;

/** Gives these faults a seed of their own, so that a seed's other faults stay the same. */
const SEED_OFFSET = 1_000_003;

/** Plans identity faults, in order of time. The same seed gives the same faults. */
export function planIdentityFaults(
  seed: number,
  durationMs: number,
): PlannedFault[] {
  const random = createRandom(seed + SEED_OFFSET);
  const faults: PlannedFault[] = [];
  const nextMs = (): number => -Math.log(1 - random()) * MEAN_GAP_MS;
  for (let atMs = nextMs(); atMs < durationMs; atMs += nextMs()) {
    const drawn = random();
    const value =
      MALFORMED_REGISTRATIONS[
        Math.floor(drawn * MALFORMED_REGISTRATIONS.length)
      ]!;
    const leavesFirst = drawn < 0.5;
    const kinds: readonly IdentityFault[] = [
      {kind: 'engineStartsAgain', leavesFirst},
      {kind: 'serviceStartsAgain', leavesFirst},
      {kind: 'strangeEntry', value},
    ];
    faults.push({
      what: kinds[Math.floor(random() * kinds.length)]!,
      atMs: Math.round(atMs),
      forMs: Math.round(random() * MAX_DURATION_MS),
      target: Math.floor(random() * 1_000),
    });
  }
  return faults;
}
