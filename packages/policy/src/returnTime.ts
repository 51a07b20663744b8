import type {Random} from '@lilacledge/shared';

/** The request is refused, and the caller is told when to retry. */
export interface Refusal {
  readonly kind: 'refuse';
  readonly retryAfterMs: number;
}

/** Largest deviation of a retry time from the forecast, as a share of it. */
const JITTER_SHARE = 0.2;

/** Refuses with a retry time around `forecastMs`, with jitter against retry bursts. */
export function drawRetryAround(forecastMs: number, random: Random): Refusal {
  const factor = 1 + JITTER_SHARE * (2 * random() - 1);
  return {kind: 'refuse', retryAfterMs: Math.round(forecastMs * factor)};
}

/**
 * Refuses with a retry time of at least `minMs`, with jitter, if no retry can succeed
 * earlier.
 */
export function drawRetryAfter(minMs: number, random: Random): Refusal {
  const factor = 1 + JITTER_SHARE * random();
  return {kind: 'refuse', retryAfterMs: Math.ceil(minMs * factor)};
}
