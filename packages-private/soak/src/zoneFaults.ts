import {createRandom} from '@lilacledge/shared';
import type {PlannedFault} from './faultPlan.js';

/** An operator evacuates a zone, and takes it back after the fault's time. */
export interface ZoneFault {
  readonly kind: 'zoneEvacuated';
}

/** Longest time in which an evacuated zone may still get work (stated). */
export const EVACUATE_MS = 2_500;

/** Mean pause between two of these, and how long they last. */
const MEAN_GAP_MS = 1_800;
const SHORTEST_MS = 200;
const LONGEST_MS = 6_000;

/** Apart from other faults, so that a seed's own faults stay what they were. */
const SEED_OFFSET = 2_000_003;

/** Zones that are evacuated in one run, some of them at once or again at once. */
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
      forMs: Math.round(SHORTEST_MS + random() * (LONGEST_MS - SHORTEST_MS)),
      target: Math.floor(random() * 1_000),
    });
  }
  return faults;
}
