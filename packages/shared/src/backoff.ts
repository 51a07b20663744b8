import type {Random} from './random.js';

/** First and longest delay of an exponential backoff, before jitter. */
export interface BackoffSettings {
  readonly firstMs: number;
  readonly maxMs: number;
}

/** The delay before attempt `attempt` (from 0): 50 to 100 % of the exponential backoff. */
export function backoffMs(
  settings: BackoffSettings,
  attempt: number,
  random: Random,
): number {
  const ceilingMs = Math.min(
    settings.maxMs,
    settings.firstMs * 2 ** Math.min(attempt, 30),
  );
  return ceilingMs * (0.5 + 0.5 * random());
}
