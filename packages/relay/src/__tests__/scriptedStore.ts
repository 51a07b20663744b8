import {assertNever} from '@lilacledge/shared';
import type {CancelTimer, VirtualClock} from '@lilacledge/shared';
import {countInEra, EndpointState, eraOf, toRevision} from '../model/index.js';
import type {EndpointRecord} from '../model/index.js';
import type {
  MetadataStore,
  StoreChange,
  StoreChanges,
  StoreFailure,
  StoreItem,
  StorePage,
  StoreReply,
} from '../ports.js';
import {bytesOf, keyOf, revisionOf} from './scriptedChanges.js';
import type {SlowLink} from './slowLink.js';

/** How the store treats new calls of the process under test. */
export const Reachability = {
  /** Calls are answered. */
  ANSWERING: 'answering',
  /** Calls are rejected at once. */
  REFUSING: 'refusing',
  /** Calls are never answered. */
  SILENT: 'silent',
} as const;
export type Reachability = (typeof Reachability)[keyof typeof Reachability];

/** Network round trip plus the store's processing time. */
const ROUND_TRIP_MS = 4;

/** Client timeouts: of a call, and of a watch beyond the time that it waits. */
const CALL_TIMEOUT_MS = 1_500;
const WATCH_MARGIN_MS = 700;

/** Limits of the store client on the transfer of a response body, from its head. */
const BODY_STALL_MS = 700;
const BODY_TIMEOUT_MS = 5_000;

/** Key of the configuration. */
export const CONFIG_KEY = 'op/config';

/** Prefixes of the keys that entries write: registrations and quarantined requests. */
export const MEMBER_PREFIX = 'serving/entries/';
export const SUSPICION_PREFIX = 'serving/suspicions/';

/** Prefix of the keys that operators write. */
export const OPERATOR_PREFIX = 'op/';

/** Prefix of the keys by which operators evacuate zones. */
export const EVACUATION_PREFIX = 'op/evacuate/';

/** Prefix of the keys under which endpoints register. */
export const ENDPOINT_PREFIX = 'servers/';

const INSTANT_TRANSFER = {bytes: 0, tookMs: 0};

/** The state of the store at one moment, from which it can be restored. */
export interface ScriptedCopy {
  readonly count: number;
  readonly compactedCount: number;
  readonly items: ReadonlyMap<string, StoreItem>;
  readonly changes: readonly StoreChange[];
}

/** A watch that the store has not answered yet. */
interface OpenWatch {
  readonly prefix: string;
  readonly afterRevision: number;
  readonly settle: (reply: StoreReply<StoreChanges>) => void;
  /** When the call reaches the store. */
  readonly arrivesAtMs: number;
  /** True if the watch gets no more answers although its connection stays open. */
  isStalled: boolean;
}

/** The transfer of a response to the caller. */
interface Transfer {
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
  readonly progressed?: () => void;
}

/** A simulated metadata store on the virtual clock, as seen by one process. */
export class ScriptedStore {
  reachability: Reachability = Reachability.ANSWERING;
  /** The link that transfers answers; without one a transfer takes no time. */
  link: SlowLink | undefined;
  /**
   * True if a timeout ends at the head of a response, after which a body may take as long as the
   * store client allows while it makes progress; otherwise it covers the whole response.
   */
  limitsBodies = false;
  /** Extra delay of each answer. */
  responseDelayMs = 0;
  /** Version of the latest configuration. */
  configVersion = 0;
  private era = 1;
  /** Changes so far. */
  private count = 1;
  /** Era that the process under test was told last. */
  private toldEra = 1;
  private readonly restoreListeners: Array<(era: number) => void> = [];
  private readonly items = new Map<string, StoreItem>();
  private changes: StoreChange[] = [];
  private compactedCount = 0;
  private readonly watches = new Set<OpenWatch>();

  constructor(private readonly clock: VirtualClock) {}

  /** Writes a configuration of that many bytes, as an operator does. */
  writeConfig(bytes = 0): void {
    this.configVersion++;
    this.write(CONFIG_KEY, `${this.configVersion}`.padEnd(bytes));
  }

  /** Writes the latest configuration again, which the store may have lost. */
  rewriteConfig(): void {
    this.write(CONFIG_KEY, `${this.configVersion}`);
  }

  /** Writes an order to evacuate a zone. */
  evacuate(zone: string): void {
    this.write(`${EVACUATION_PREFIX}${zone}`, '{}');
  }

  /** Deletes the order to evacuate a zone. */
  takeBack(zone: string): void {
    this.erase(`${EVACUATION_PREFIX}${zone}`);
  }

  /** Writes a registration of an endpoint of another service. */
  touch(): void {
    this.registerRecord({
      id: 'elsewhere',
      service: 'drafts',
      address: {host: '10.0.0.2', port: 80},
      zone: 'north',
      slots: 6,
      state: EndpointState.READY,
      warmupLeftMs: 0,
    });
  }

  /** Registers an endpoint of the service `bookings`, or updates its state. */
  register(id: string, state: EndpointRecord['state']): void {
    this.registerRecord({
      id,
      service: 'bookings',
      address: {host: '10.0.0.1', port: 80},
      zone: 'north',
      slots: 6,
      state,
      warmupLeftMs: 0,
    });
  }

  private registerRecord(record: EndpointRecord): void {
    this.write(`${ENDPOINT_PREFIX}${record.id}`, JSON.stringify(record));
  }

  unregister(id: string): void {
    this.erase(`${ENDPOINT_PREFIX}${id}`);
  }

  /** Lets an endpoint leave: it announces that it drains, or its registration is deleted. */
  leave(id: string, isAnnounced: boolean): void {
    if (isAnnounced) this.register(id, EndpointState.DRAINING);
    else this.unregister(id);
  }

  /** Resets the connections of the waiting watches; new watches work. */
  resetWatches(): void {
    const nowMs = this.clock.nowMs();
    const waiting = [...this.watches].filter(
      ({arrivesAtMs: waitsFromMs}) => waitsFromMs <= nowMs,
    );
    for (const watch of waiting) {
      watch.settle({kind: 'unanswered', detail: 'connection reset'});
    }
  }

  /** Stalls the waiting watches: they get no more answers, while new calls work. */
  stallWatches(): void {
    for (const watch of this.watches) watch.isStalled = true;
  }

  /** Discards the history and resets the waiting watches. */
  compact(): void {
    this.compactedCount = this.count;
    this.changes = [];
    this.resetWatches();
  }

  copy(): ScriptedCopy {
    const {count, compactedCount} = this;
    return {
      count,
      compactedCount,
      items: new Map(this.items),
      changes: [...this.changes],
    };
  }

  /**
   * Returns to the state of a copy, so that what was written since is lost and counts of changes
   * are given out again. Resets the waiting watches.
   */
  restore(copy: ScriptedCopy): void {
    this.era++;
    this.count = copy.count;
    this.compactedCount = copy.compactedCount;
    this.items.clear();
    for (const item of copy.items.values()) {
      this.items.set(item.key, this.ofThisEra(item));
    }
    this.changes = copy.changes.map((change) =>
      change.kind === 'written'
        ? {kind: 'written', item: this.ofThisEra(change.item)}
        : this.ofThisEra(change),
    );
    this.resetWatches();
  }

  private get revision(): number {
    return toRevision(this.era, this.count)!;
  }

  private ofThisEra<T extends {readonly revision: number}>(written: T): T {
    const revision = toRevision(this.era, countInEra(written.revision))!;
    return {...written, revision};
  }

  /** Tells the process under test that the store was restored, if an answer shows it. */
  private noteAnswered(): void {
    if (this.era === this.toldEra) return;
    this.toldEra = this.era;
    for (const listener of this.restoreListeners) listener(this.era);
  }

  /** The store's interface for the process under test. */
  get port(): MetadataStore {
    return {
      list: (prefix: string, _afterKey?: string, progressed?: () => void) =>
        this.list(prefix, progressed),
      watch: (
        prefix: string,
        afterRevision: number,
        waitMs: number,
        signal: AbortSignal,
        progressed?: () => void,
      ) => this.watch(prefix, afterRevision, waitMs, signal, progressed),
      onRestored: (listener: (era: number) => void) => {
        this.restoreListeners.push(listener);
      },
    } as Partial<MetadataStore> as MetadataStore;
  }

  private write(key: string, text: string): void {
    this.count++;
    const {revision} = this;
    const item: StoreItem = {key, value: Buffer.from(text), revision};
    this.items.set(key, item);
    this.notifyWatches({kind: 'written', item});
  }

  private erase(key: string): void {
    this.items.delete(key);
    this.count++;
    this.notifyWatches({kind: 'deleted', key, revision: this.revision});
  }

  private list(
    prefix: string,
    progressed?: () => void,
  ): Promise<StoreReply<StorePage>> {
    return this.answered(CALL_TIMEOUT_MS, progressed, () => ({
      items: [...this.items.values()].filter(({key}) => key.startsWith(prefix)),
      hasMore: false,
      revision: this.revision,
      transfer: INSTANT_TRANSFER,
    }));
  }

  private answered(
    timeoutMs: number,
    progressed: (() => void) | undefined,
    answer: () => StorePage,
  ): Promise<StoreReply<StorePage>> {
    const {reachability} = this;
    return new Promise((resolve) => {
      const delayMs =
        reachability === Reachability.SILENT ? timeoutMs : ROUND_TRIP_MS;
      this.clock.after(delayMs, () => {
        if (reachability === Reachability.ANSWERING) {
          const page = answer();
          const bytes = bytesOf(page.items);
          this.deliver(page, bytes, {timeoutMs, progressed}, resolve);
        } else {
          resolve(failureOf(reachability));
        }
      });
    });
  }

  private watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
    progressed?: () => void,
  ): Promise<StoreReply<StoreChanges>> {
    const {reachability} = this;
    if (reachability !== Reachability.ANSWERING) {
      const delayMs =
        reachability === Reachability.SILENT
          ? waitMs + WATCH_MARGIN_MS
          : ROUND_TRIP_MS;
      return new Promise((resolve) => {
        this.clock.after(delayMs, () => resolve(failureOf(reachability)));
      });
    }
    return new Promise((resolve) => {
      const watch: OpenWatch = {
        prefix,
        afterRevision,
        isStalled: false,
        arrivesAtMs: this.clock.nowMs() + ROUND_TRIP_MS,
        settle: (reply) => {
          if (!this.watches.delete(watch)) return;
          signal.removeEventListener('abort', abort);
          if (reply.kind !== 'ok') {
            resolve(reply);
            return;
          }
          const items = reply.value.changes.flatMap((change) =>
            change.kind === 'written' ? [change.item] : [],
          );
          const leftMs =
            watch.arrivesAtMs + waitMs + WATCH_MARGIN_MS - this.clock.nowMs();
          const bytes = bytesOf(items);
          const limits = {timeoutMs: leftMs, signal, progressed};
          this.deliver(reply.value, bytes, limits, resolve);
        },
      };
      const abort = (): void => {
        watch.settle({kind: 'unanswered', detail: 'aborted'});
      };
      this.watches.add(watch);
      this.clock.after(ROUND_TRIP_MS, () => this.answerWatch(watch, false));
      this.clock.after(ROUND_TRIP_MS + waitMs, () => {
        this.answerWatch(watch, true);
      });
      this.clock.after(waitMs + WATCH_MARGIN_MS, () => {
        if (!this.watches.has(watch)) return;
        watch.settle({kind: 'unanswered', detail: 'timeout'});
      });
      signal.addEventListener('abort', abort);
    });
  }

  /** Resolves with an answer after its transfer, or with a timeout failure. */
  private deliver<T extends StorePage | StoreChanges>(
    value: T,
    bytes: number,
    {timeoutMs, signal, progressed}: Transfer,
    resolve: (reply: StoreReply<T>) => void,
  ): void {
    let cancel: CancelTimer = () => {};
    let cancelTimeout: CancelTimer = () => {};
    const abort = (): void => fail('aborted');
    const end = (): void => {
      cancel();
      cancelTimeout();
      signal?.removeEventListener('abort', abort);
    };
    const fail = (detail: string): void => {
      end();
      resolve({kind: 'unanswered', detail});
    };
    const failAfter = (delayMs: number): void => {
      cancelTimeout();
      cancelTimeout = this.clock.after(delayMs, () => fail('timeout'));
    };
    failAfter(timeoutMs);
    signal?.addEventListener('abort', abort);
    const onComplete = (tookMs: number): void => {
      end();
      this.noteAnswered();
      resolve({kind: 'ok', value: {...value, transfer: {bytes, tookMs}}});
    };
    cancel = this.clock.after(this.responseDelayMs, () => {
      const untilMs = this.clock.nowMs() + BODY_TIMEOUT_MS;
      const onProgress = (): void => {
        progressed?.();
        if (!this.limitsBodies) return;
        failAfter(Math.min(BODY_STALL_MS, untilMs - this.clock.nowMs()));
      };
      onProgress();
      if (this.link === undefined) onComplete(0);
      else cancel = this.link.receive(bytes, {onComplete, onProgress});
    });
  }

  private notifyWatches(change: StoreChange): void {
    this.changes.push(change);
    this.clock.after(ROUND_TRIP_MS, () => {
      for (const watch of [...this.watches]) this.answerWatch(watch, false);
    });
  }

  private answerWatch(watch: OpenWatch, isOver: boolean): void {
    if (watch.isStalled || !this.watches.has(watch)) return;
    const afterCount = countInEra(watch.afterRevision);
    const isUnknown =
      afterCount < this.compactedCount || afterCount > this.count;
    if (isUnknown || eraOf(watch.afterRevision) !== this.era) {
      this.noteAnswered();
      watch.settle({kind: 'compacted'});
      return;
    }
    const changes = this.changes.filter(
      (change) =>
        keyOf(change).startsWith(watch.prefix) &&
        revisionOf(change) > watch.afterRevision,
    );
    if (changes.length === 0 && !isOver) return;
    const {revision} = this;
    watch.settle({
      kind: 'ok',
      value: {changes, revision, transfer: INSTANT_TRANSFER},
    });
  }
}

function failureOf(
  reachability: typeof Reachability.REFUSING | typeof Reachability.SILENT,
): StoreFailure {
  switch (reachability) {
    case Reachability.REFUSING:
      return {kind: 'refused', status: 503};
    case Reachability.SILENT:
      return {kind: 'unanswered', detail: 'timeout'};
    default:
      return assertNever(reachability);
  }
}
