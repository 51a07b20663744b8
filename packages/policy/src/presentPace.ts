/**
 * Half-life of the weight of a reported pace: half of the usual slow interval of an
 * endpoint, which lasts 0.6 s. An older report says little about the present.
 */
const PACE_HALF_LIFE_MS = 300;

/** A pace of 100 percent is the usual one. */
export const USUAL_PERCENT = 100;

/** How long work took at an endpoint, in percent of the usual time, at a time. */
export interface ReportedPacePercent {
  readonly pacePercent: number;
  readonly atMs: number;
}

/** Weight of a reported pace, from 1 when it is new to 0 when it is old. */
export function paceWeight({atMs}: ReportedPacePercent, nowMs: number): number {
  return 0.5 ** (Math.max(0, nowMs - atMs) / PACE_HALF_LIFE_MS);
}
