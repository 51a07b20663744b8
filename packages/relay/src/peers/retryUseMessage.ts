import type {RetryUse, RepeatPart} from '@lilacledge/policy';

/** More parts of one service than this are not taken from elsewhere at once. */
const MOST_PARTS = 1_000;

/** Checks what another process says it was asked for and repeated for one service. */
export function isRetryUse(value: unknown): value is RetryUse {
  if (typeof value !== 'object' || value === null) return false;
  const {service, parts} = value as Partial<RetryUse>;
  if (typeof service !== 'string' || !Array.isArray(parts)) return false;
  return parts.length <= MOST_PARTS && parts.every(isRepeatPart);
}

function isRepeatPart(value: unknown): value is RepeatPart {
  if (typeof value !== 'object' || value === null) return false;
  const {life, part, agoMs, requests, repeats} = value as Partial<RepeatPart>;
  const isNamed = typeof life === 'string' && Number.isFinite(part);
  return isNamed && [agoMs, requests, repeats].every(isAmount);
}

function isAmount(value: unknown): value is number {
  return Number.isFinite(value) && (value as number) >= 0;
}
