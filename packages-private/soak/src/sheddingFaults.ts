import {createRandom} from '@lilacledge/shared';
import type {PlannedFault} from './faultPlan.js';

/** All endpoints reject this share of their requests without running them. */
export interface SheddingFault {
  readonly kind: 'endpointsShed';
  readonly share: number;
}

/** Share of the requests that endpoints reject. */
const SHED_SHARE = 0.9;

/** Time of the run at which endpoints start to reject. */
const START_MS = 300;

/** Mean time between two restarts of entries. */
const MEAN_GAP_MS = 700;

/** Share of the restarts that hit all entries at once. */
const ALL_ENTRIES_SHARE = 0.15;

/** Gives these faults a seed of their own, so that a seed's other faults stay the same. */
const SEED_OFFSET = 3_000_017;

/** Plans endpoints that reject requests while entries restart in quick succession. */
export function planSheddingFaults(
  seed: number,
  durationMs: number,
): PlannedFault[] {
  const random = createRandom(seed + SEED_OFFSET);
  const shed = {kind: 'endpointsShed', share: SHED_SHARE} as const;
  const forMs = durationMs - START_MS;
  const faults: PlannedFault[] = [
    {what: shed, atMs: START_MS, forMs, target: 0},
  ];
  const nextMs = (): number => -Math.log(1 - random()) * MEAN_GAP_MS;
  for (let atMs = START_MS; atMs < durationMs; atMs += nextMs()) {
    const drawn = random();
    const singleKind = drawn < 0.6 ? 'entryKilled' : 'entryStopped';
    faults.push({
      what: {kind: drawn < ALL_ENTRIES_SHARE ? 'allEntriesKilled' : singleKind},
      atMs: Math.round(atMs),
      forMs: 0,
      target: Math.floor(random() * 1_000),
    });
  }
  return faults;
}
