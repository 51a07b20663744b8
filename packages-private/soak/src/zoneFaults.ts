import {createRandom} from '@lilacledge/shared';
import type {PlannedFault} from './faultPlan.js';

/** An operator evacuates a zone, and withdraws the order when the fault ends. */
export interface ZoneFault {
  readonly kind: 'zoneEvacuated';
}

/** Longest time in which an evacuated zone may still get work. */
export const EVACUATE_MS = 2_500;

/** Mean time between two evacuations, and the bounds of their duration. */
const MEAN_GAP_MS = 1_800;
const MIN_DURATION_MS = 200;
const MAX_DURATION_MS = 6_000;

/** Gives these faults a seed of their own, so that a seed's other faults stay the same. */
const SEED_OFFSET = 2_000_003;

/** Plans evacuations of zones; they may overlap, also for the same zone. */
export function planZoneFaults(
  seed: number,
  durationMs: number,
): PlannedFault[] {
  const random = createRandom(seed + SEED_OFFSET);
  const faults: PlannedFault[] = [];
  const nextMs = (): number => -Math.log(1 - random()) * MEAN_GAP_MS;
  for (let atMs = nextMs(); atMs < durationMs; atMs += nextMs()) {
    faults.push({
      what: {kind: 'zoneEvacuated'},
      atMs: Math.round(atMs),
      forMs: Math.round(
        MIN_DURATION_MS + random() * (MAX_DURATION_MS - MIN_DURATION_MS),
      ),
      target: Math.floor(random() * 1_000),
    });
  }
  return faults;
}
