import type {ServiceRetryUse, RetryCountBucket} from '@lilacledge/policy';

/** Maximum number of parts for one service in a message. */
const MAX_PARTS = 1_000;

/** Validates the counts of requests and retries of one service from another process. */
export function isRetryUse(value: unknown): value is ServiceRetryUse {
  if (typeof value !== 'object' || value === null) return false;
  const {service, parts} = value as Partial<ServiceRetryUse>;
  if (typeof service !== 'string' || !Array.isArray(parts)) return false;
  return parts.length <= MAX_PARTS && parts.every(isRepeatPart);
}

function isRepeatPart(value: unknown): value is RetryCountBucket {
  if (typeof value !== 'object' || value === null) return false;
  const {life, part, agoMs, requests, repeats} =
    value as Partial<RetryCountBucket>;
  const isIdentified = typeof life === 'string' && Number.isFinite(part);
  return isIdentified && [agoMs, requests, repeats].every(isNonNegative);
}

function isNonNegative(value: unknown): value is number {
  return Number.isFinite(value) && (value as number) >= 0;
}
