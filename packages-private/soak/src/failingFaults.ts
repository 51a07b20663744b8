import type {PlannedFault} from './faultPlan.js';

/** Time of the run at which plain endpoints start to fail. */
const START_MS = 300;

/** All plain endpoints answer half of their calls with an error, until the faults end. */
export function planFailingFaults(
  services: number,
  durationMs: number,
): PlannedFault[] {
  return Array.from({length: services}, (_, target) => ({
    what: {kind: 'serviceFails'} as const,
    atMs: START_MS,
    forMs: durationMs - START_MS,
    target,
  }));
}
