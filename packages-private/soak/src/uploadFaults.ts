import {createRandom} from '@lilacledge/shared';
import type {PlannedFault} from './faultPlan.js';

/** Mean time between two restarts or reloads of entries. */
const MEAN_GAP_MS = 1_500;

/** Shares of what happens to entries; the rest are reloads. */
const ALL_KILLED_SHARE = 0.1;
const KILLED_SHARE = 0.4;
const STOPPED_SHARE = 0.7;

/** Gives these faults a seed of their own, so that a seed's other faults stay the same. */
const SEED_OFFSET = 9_000_011;

/** Plans restarts and reloads of entries, which overlap. */
export function planUploadFaults(
  seed: number,
  durationMs: number,
): PlannedFault[] {
  const random = createRandom(seed + SEED_OFFSET);
  const faults: PlannedFault[] = [];
  let atMs = 0;
  for (;;) {
    atMs -= Math.log(1 - random()) * MEAN_GAP_MS;
    if (atMs >= durationMs) return faults;
    faults.push({
      what: {kind: drawKind(random())},
      atMs: Math.round(atMs),
      forMs: 0,
      target: Math.floor(random() * 1_000),
    });
  }
}

function drawKind(
  drawn: number,
): 'allEntriesKilled' | 'entryKilled' | 'entryStopped' | 'entryReloaded' {
  if (drawn < ALL_KILLED_SHARE) return 'allEntriesKilled';
  if (drawn < KILLED_SHARE) return 'entryKilled';
  return drawn < STOPPED_SHARE ? 'entryStopped' : 'entryReloaded';
}
