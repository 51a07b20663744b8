import type {PlannedFault} from './faultPlan.js';

/** When plain endpoints begin to fail. */
const BEGIN_MS = 300;

/** All plain endpoints answer half of their calls with an error of their own. */
export function planFailingFaults(
  services: number,
  durationMs: number,
): PlannedFault[] {
  return Array.from({length: services}, (_, target) => ({
    what: {kind: 'serviceFails'} as const,
    atMs: BEGIN_MS,
    forMs: durationMs - BEGIN_MS,
    target,
  }));
}
