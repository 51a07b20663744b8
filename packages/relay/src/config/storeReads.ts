import {hedgeRead} from '@lilacledge/policy';
import {assertNever} from '@lilacledge/shared';
import type {Clock} from '@lilacledge/shared';
import type {BodyTransfer} from '../http/callHttp.js';
import type {DecisionLogger} from '../log/boundedLog.js';
import type {
  MetadataStore,
  StoreFailure,
  StoreItem,
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

/** All items below a prefix, as of the revision of the first page or later. */
export interface Listing {
  readonly items: readonly StoreItem[];
  /** Of the first page: pages are no snapshot. */
  readonly revision: number;
  /** Of all pages together. */
  readonly transfer: BodyTransfer;
}

/** Reads all pages below a prefix. */
export async function listBelow(
  store: MetadataStore,
  clock: Clock,
  log: DecisionLogger,
  prefix: string,
): Promise<StoreReply<Listing>> {
  const items: StoreItem[] = [];
  const transfer = {bytes: 0, tookMs: 0};
  let afterKey: string | undefined;
  let revision: number | undefined;
  for (;;) {
    const reply = await listPage(store, clock, prefix, afterKey);
    if (reply.kind !== 'ok') return reply;
    const {items: page, hasMore} = reply.value;
    logSlowAnswer(log, 'list', page.length, reply.value.transfer);
    transfer.bytes += reply.value.transfer.bytes;
    transfer.tookMs += reply.value.transfer.tookMs;
    revision ??= reply.value.revision;
    items.push(...page);
    afterKey = page.at(-1)?.key;
    if (!hasMore || afterKey === undefined) break;
  }
  return {kind: 'ok', value: {items, revision, transfer}};
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
