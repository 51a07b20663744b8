import type {Random} from '@lilacledge/shared';

/** A caller is not kept for an answer, and told when to come back instead. */
export interface Refusal {
  readonly kind: 'refuse';
  readonly retryAfterMs: number;
}

/** Return times are drawn this far around the forecast, as a share of it. */
const SPREAD = 0.2;

/** Refuses until a forecast, spread so that callers do not return together. */
export function refuseUntil(forecastMs: number, random: Random): Refusal {
  const spread = 1 + SPREAD * (2 * random() - 1);
  return {kind: 'refuse', retryAfterMs: Math.round(forecastMs * spread)};
}

/** The same where nothing can be had before a known moment: nobody returns earlier. */
export function returnAfter(leastMs: number, random: Random): Refusal {
  const spread = 1 + SPREAD * random();
  return {kind: 'refuse', retryAfterMs: Math.ceil(leastMs * spread)};
}
