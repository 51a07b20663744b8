import {createRandom} from '@lilacledge/shared';
import type {PlannedFault} from './faultPlan.js';

/** All endpoints reject this share of what arrives, without running it. */
export interface SheddingFault {
  readonly kind: 'endpointsShed';
  readonly share: number;
}

/** Part of the requests that endpoints reject. */
const SHED_SHARE = 0.9;

/** When endpoints begin to reject. */
const BEGIN_MS = 300;

/** Mean pause between two entries that end and start anew. */
const MEAN_GAP_MS = 700;

/** Part of the ends at which all entries end at once. */
const ALL_SHARE = 0.15;

/** Apart from other faults, so that a seed's own faults stay what they were. */
const SEED_OFFSET = 3_000_017;

/** Endpoints that reject, while entries are killed and stopped in quick succession. */
export function planSheddingFaults(
  seed: number,
  durationMs: number,
): PlannedFault[] {
  const random = createRandom(seed + SEED_OFFSET);
  const shed = {kind: 'endpointsShed', share: SHED_SHARE} as const;
  const forMs = durationMs - BEGIN_MS;
  const faults: PlannedFault[] = [
    {what: shed, atMs: BEGIN_MS, forMs, target: 0},
  ];
  const nextMs = (): number => -Math.log(1 - random()) * MEAN_GAP_MS;
  for (let atMs = BEGIN_MS; atMs < durationMs; atMs += nextMs()) {
    const drawn = random();
    const single = drawn < 0.6 ? 'entryKilled' : 'entryStopped';
    faults.push({
      what: {kind: drawn < ALL_SHARE ? 'allEntriesKilled' : single},
      atMs: Math.round(atMs),
      forMs: 0,
      target: Math.floor(random() * 1_000),
    });
  }
  return faults;
}
