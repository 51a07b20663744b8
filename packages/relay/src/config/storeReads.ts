import {hedgeRead} from '@lilacledge/policy';
import {assertNever} from '@lilacledge/shared';
import type {Clock} from '@lilacledge/shared';
import type {BodyTransfer} from '../http/callHttp.js';
import type {Logger} from '../log/boundedLog.js';
import {isSameEra} from '../model/index.js';
import type {
  MetadataStore,
  StoreFailure,
  StoreItem,
  StorePage,
  StoreReply,
  UnreadableItem,
} from '../ports.js';

/**
 * A page whose response has not started after `afterMs` is requested again. The store
 * answers in 4 ms, and in 250 ms when it is slow; an unresponsive one never does.
 */
const LIST_HEDGE = {afterMs: 300, maxReads: 4};

/** Responses whose bodies took at least this long to arrive are logged. */
const SLOW_RESPONSE_MS = 100;

/** The store allows no longer keys. */
const MAX_LOGGED_KEY_LENGTH = 200;

/** Reads one page of the items below a prefix, with a hedged request. */
export function listPage(
  store: MetadataStore,
  clock: Clock,
  prefix: string,
  afterKey?: string,
  progressed: (bytes: number) => void = () => {},
): Promise<StoreReply<StorePage>> {
  return hedgeRead(
    (onResponseStarted, signal) =>
      store.list(
        prefix,
        afterKey,
        (bytes) => {
          onResponseStarted();
          progressed(bytes);
        },
        signal,
      ),
    (reply) => reply.kind === 'ok',
    LIST_HEDGE,
    clock,
  );
}

/** What a list is read with. */
export interface ListSource {
  readonly store: MetadataStore;
  readonly clock: Clock;
  readonly log: Logger;
}

/** All items below a prefix, each as of the revision of the first page or later. */
export interface StoreListing<T> {
  /** What was kept of the items. */
  readonly kept: readonly T[];
  /** All keys, also of items that can't be read. */
  readonly keys: ReadonlySet<string>;
  /** Revision of the first page; later pages may be newer, as pages are not a snapshot. */
  readonly revision: number;
  /** Sums over all pages. */
  readonly transfer: BodyTransfer;
}

/**
 * Reads all pages of the items below a prefix. There is no bound on the values of all pages
 * together, so only what `keep` returns of each item is held beyond its page.
 *
 * @param keep what is needed of an item; undefined for none of it.
 */
export async function listAllPages<T>(
  {store, clock, log}: ListSource,
  prefix: string,
  keep: (item: StoreItem) => T | undefined,
  progressed?: (bytes: number) => void,
): Promise<StoreReply<StoreListing<T>>> {
  const reading = new ListReading(log, keep);
  for (;;) {
    const next = reading.add(
      await listPage(store, clock, prefix, reading.afterKey, progressed),
    );
    if (next !== undefined) return next;
  }
}

/** What was read of a list; holds no page, as the caller waits for the next one meanwhile. */
class ListReading<T> {
  /** Key after which the next page begins. */
  afterKey: string | undefined;
  private readonly kept: T[] = [];
  private readonly keys = new Set<string>();
  private readonly transfer = {bytes: 0, tookMs: 0};
  private revision: number | undefined;

  constructor(
    private readonly log: Logger,
    private readonly keep: (item: StoreItem) => T | undefined,
  ) {}

  /** Adds a page. Returns the result of the list, or undefined if there are more pages. */
  add(reply: StoreReply<StorePage>): StoreReply<StoreListing<T>> | undefined {
    if (reply.kind !== 'ok') return reply;
    const {items: page, hasMore, unreadable = [], transfer} = reply.value;
    logSlowResponse(this.log, 'list', page.length, transfer);
    logUnreadable(this.log, 'list', unreadable);
    this.transfer.bytes += transfer.bytes;
    this.transfer.tookMs += transfer.tookMs;
    const revision = (this.revision ??= reply.value.revision);
    // Pages from before and after a restore do not belong together.
    if (!isSameEra(revision, reply.value.revision)) return {kind: 'compacted'};
    for (const item of page) {
      const part = this.keep(item);
      if (part !== undefined) this.kept.push(part);
    }
    for (const {key} of [...page, ...unreadable]) {
      if (key !== undefined) this.keys.add(key);
    }
    this.afterKey = reply.value.lastKey ?? page.at(-1)?.key;
    const isEmpty = page.length + unreadable.length === 0;
    if (!hasMore || isEmpty) {
      const {kept, keys} = this;
      return {
        kind: 'ok',
        value: {kept, keys, revision, transfer: this.transfer},
      };
    }
    return this.afterKey === undefined ? PAGE_WITHOUT_KEYS : undefined;
  }
}

/** There are more items, but no key tells where they begin. */
const PAGE_WITHOUT_KEYS: StoreFailure = {
  kind: 'unanswered',
  detail: 'no key of a page can be read',
};

/** Logs a response whose body was slow to arrive. */
export function logSlowResponse(
  log: Logger,
  call: 'watch' | 'list',
  items: number,
  {bytes, tookMs}: BodyTransfer,
): void {
  if (tookMs < SLOW_RESPONSE_MS) return;
  log.info('store.slowAnswer', {
    call,
    items,
    bytes,
    tookMs: Math.round(tookMs),
  });
}

/** Logs the first of the items of an answer that can't be read. */
export function logUnreadable(
  log: Logger,
  call: 'watch' | 'list',
  unreadable: readonly UnreadableItem[] = [],
): void {
  const [first] = unreadable;
  if (first === undefined) return;
  log.warn('store.unreadable', {
    call,
    items: unreadable.length,
    key: first.key?.slice(0, MAX_LOGGED_KEY_LENGTH),
    problem: first.problem,
  });
}

/** Describes a failed call for a log line. */
export function describeStoreFailure(failure: StoreFailure): string {
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
