import {createRandom} from '@lilacledge/shared';
import type {PlannedFault} from './faultPlan.js';

/** How much of a configuration there is, and what carries it. */
export interface BulkSettings {
  /** Routes that nobody asks for. */
  readonly unusedRoutes: number;
  /** What each program's link to the store carries of its answers. */
  readonly bytesPerMs: number;
}

/** A small configuration over links that take no time. */
export const NO_BULK: BulkSettings = {
  unusedRoutes: 0,
  bytesPerMs: Number.POSITIVE_INFINITY,
};

/** A configuration of some 340 kB over the smallest links, of 10 Mbit/s. */
export const BULK: BulkSettings = {unusedRoutes: 1_400, bytesPerMs: 1_250};

/** Pause between two versions, and between two leaves of plain endpoints. */
const VERSION_GAP_MS = 330;
const LEAVE_GAP_MS = 1_100;

/** Endpoints leave while a large configuration changes in series; nothing fails. */
export function planBulkFaults(
  seed: number,
  durationMs: number,
): PlannedFault[] {
  const random = createRandom(seed);
  const faults: PlannedFault[] = [];
  const plan = (
    kind: 'configChange' | 'serviceLeaves',
    gapMs: number,
  ): void => {
    for (let atMs = gapMs; atMs < durationMs; atMs += gapMs) {
      const target = Math.floor(random() * 1_000);
      faults.push({what: {kind}, atMs: Math.round(atMs), forMs: 0, target});
    }
  };
  plan('configChange', VERSION_GAP_MS);
  plan('serviceLeaves', LEAVE_GAP_MS * (0.5 + random()));
  return faults.sort((a, b) => a.atMs - b.atMs);
}
