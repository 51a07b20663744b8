import {hedgeRead} from '@lilacledge/policy';
import {assertNever} from '@lilacledge/shared';
import type {Clock} from '@lilacledge/shared';
import type {BodyTransfer} from '../http/callHttp.js';
import type {DecisionLogger} from '../log/boundedLog.js';
import type {
  MetadataStore,
  StoreFailure,
  StorePage,
  StoreReply,
} from '../ports.js';

/**
 * A page that has not begun to come by then is asked for again. The store answers in
 * 4 ms, and in a quarter of a second when it is slow; a silent one answers never.
 */
const LIST_HEDGE = {afterMs: 300, mostOpen: 4};

/** An answer whose body took longer than this from its head on is told of. */
const SLOW_TRANSFER_MS = 100;

/** One page of the items below a prefix. */
export function listPage(
  store: MetadataStore,
  clock: Clock,
  prefix: string,
  afterKey?: string,
): Promise<StoreReply<StorePage>> {
  return hedgeRead(
    (begun) => store.list(prefix, afterKey, begun),
    (reply) => reply.kind === 'ok',
    LIST_HEDGE,
    clock,
  );
}

/** Tells of an answer that was long on its way. */
export function logSlowAnswer(
  log: DecisionLogger,
  call: 'watch' | 'list',
  items: number,
  {bytes, tookMs}: BodyTransfer,
): void {
  if (tookMs < SLOW_TRANSFER_MS) return;
  log.info('store.slowAnswer', {
    call,
    items,
    bytes,
    tookMs: Math.round(tookMs),
  });
}

/** One phrase for a log line. */
export function describeFailure(failure: StoreFailure): string {
  switch (failure.kind) {
    case 'refused':
      return `refused with status ${failure.status}`;
    case 'unanswered':
      return `no answer: ${failure.detail}`;
    case 'compacted':
    case 'missing':
    case 'conflict':
      return failure.kind;
    default:
      return assertNever(failure);
  }
}
