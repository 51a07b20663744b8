import type {Random} from './random.js';

/** Bounds of an exponential back-off. */
export interface BackoffSettings {
  readonly firstMs: number;
  readonly maxMs: number;
}

/** The wait before try `attempt` (from 0), with full jitter above one half. */
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
