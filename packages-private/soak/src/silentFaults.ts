import {createRandom} from '@lilacledge/shared';
import type {PlannedFault} from './faultPlan.js';

/** Share of the requests that endpoints reject, so that retries are asked for all the time. */
const SHED_SHARE = 0.5;

/** Time of the run at which endpoints start to reject. */
const START_MS = 300;

/** Mean time between the starts of two silences, and their durations. */
const MEAN_SILENCE_GAP_MS = 2_500;
const MIN_SILENCE_MS = 2_000;
const MAX_SILENCE_MS = 9_000;

/** Mean time between two ends of entries. */
const MEAN_END_GAP_MS = 6_000;

/** Gives these faults a seed of their own, so that a seed's other faults stay the same. */
const SEED_OFFSET = 8_000_009;

/**
 * Plans endpoints that fall silent, several at a time, and then get all that was sent to them
 * meanwhile, while endpoints reject requests and entries end at times.
 */
export function planSilentFaults(
  seed: number,
  durationMs: number,
): PlannedFault[] {
  const random = createRandom(seed + SEED_OFFSET);
  const shed = {kind: 'endpointsShed', share: SHED_SHARE} as const;
  const faults: PlannedFault[] = [
    {what: shed, atMs: START_MS, forMs: durationMs - START_MS, target: 0},
  ];
  const drawGapMs = (meanMs: number): number =>
    -Math.log(1 - random()) * meanMs;
  const drawTarget = (): number => Math.floor(random() * 1_000);
  let atMs = START_MS;
  while ((atMs += drawGapMs(MEAN_SILENCE_GAP_MS)) < durationMs) {
    const kind = random() < 0.6 ? 'serviceLink' : 'engineLink';
    const rangeMs = MAX_SILENCE_MS - MIN_SILENCE_MS;
    faults.push({
      what: {kind, fault: {kind: 'held'}},
      atMs: Math.round(atMs),
      forMs: Math.round(MIN_SILENCE_MS + random() * rangeMs),
      target: drawTarget(),
    });
  }
  atMs = START_MS;
  while ((atMs += drawGapMs(MEAN_END_GAP_MS)) < durationMs) {
    const kind = random() < 0.5 ? 'entryKilled' : 'entryStopped';
    const fault = {what: {kind}, atMs: Math.round(atMs), forMs: 0} as const;
    faults.push({...fault, target: drawTarget()});
  }
  return faults.sort((a, b) => a.atMs - b.atMs);
}
