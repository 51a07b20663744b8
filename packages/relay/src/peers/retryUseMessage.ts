import type {RetryUse, SlackTake} from '@lilacledge/policy';

/** More takes of one service than this are not taken from elsewhere at once. */
const MOST_TAKES = 1_000;

/** Checks what another process says it took from the free sends for one service. */
export function isRetryUse(value: unknown): value is RetryUse {
  if (typeof value !== 'object' || value === null) return false;
  const {service, takes} = value as Partial<RetryUse>;
  if (typeof service !== 'string' || !Array.isArray(takes)) return false;
  return takes.length <= MOST_TAKES && takes.every(isSlackTake);
}

function isSlackTake(value: unknown): value is SlackTake {
  if (typeof value !== 'object' || value === null) return false;
  const {life, part, agoMs, count} = value as Partial<SlackTake>;
  const isNamed = typeof life === 'string' && Number.isFinite(part);
  return isNamed && isAmount(agoMs) && isAmount(count);
}

function isAmount(value: unknown): value is number {
  return Number.isFinite(value) && (value as number) >= 0;
}
