import {createRandom} from '@lilacledge/shared';
import type {PlannedFault} from './faultPlan.js';

/** The store is unavailable for a moment and comes back from an older copy. */
export interface RestoreFault {
  readonly kind: 'storeRestored';
  readonly copyAgeMs: number;
}

/** Greatest age of a copy, and longest time until the store is back. */
export const MAX_COPY_AGE_MS = 6_000;
const MAX_AWAY_MS = 2_000;

/** Share of the restores that follow at once, and their gap; mean gap before the others. */
const SERIES_SHARE = 0.3;
const SERIES_GAP_MS = 400;
const MEAN_GAP_MS = 3_000;

/** Gives these faults a seed of their own, so that a seed's other faults stay the same. */
const SEED_OFFSET = 5_000_011;

/** Plans restores of the store; some come in series. */
export function planRestoreFaults(
  seed: number,
  durationMs: number,
): PlannedFault[] {
  const random = createRandom(seed + SEED_OFFSET);
  const faults: PlannedFault[] = [];
  let atMs = MEAN_GAP_MS;
  while (atMs < durationMs) {
    const forMs = Math.round(50 + random() * MAX_AWAY_MS);
    const copyAgeMs = Math.round(random() * MAX_COPY_AGE_MS);
    faults.push({
      what: {kind: 'storeRestored', copyAgeMs},
      atMs: Math.round(atMs),
      forMs,
      target: 0,
    });
    const gapMs = -Math.log(1 - random()) * MEAN_GAP_MS;
    atMs += forMs + (random() < SERIES_SHARE ? SERIES_GAP_MS : gapMs);
  }
  return faults;
}
