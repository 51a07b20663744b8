import type {VirtualClock} from '@lilacledge/shared';
import {EndpointState} from '../model/index.js';
import type {EndpointRecord} from '../model/index.js';
import type {
  MetadataStore,
  StoreChanges,
  StorePage,
  StoreReply,
} from '../ports.js';
import {failureOf, Reachability} from './reachability.js';
import {bytesOf} from './scriptedChanges.js';
import {ScriptedContents} from './scriptedContents.js';
import type {ScriptedCopy} from './scriptedContents.js';
import {
  CONFIG_KEY,
  ENDPOINT_PREFIX,
  EVACUATION_PREFIX,
} from './scriptedKeys.js';
import {transferAnswer} from './scriptedTransfer.js';
import type {Transfer, TransferConditions} from './scriptedTransfer.js';
import {
  ROUND_TRIP_MS,
  ScriptedWatches,
  WATCH_MARGIN_MS,
} from './scriptedWatches.js';
import type {WatchCall} from './scriptedWatches.js';
import type {SlowLink} from './slowLink.js';

/** Client timeout of a call. */
const CALL_TIMEOUT_MS = 1_500;

/** A simulated metadata store on the virtual clock, as seen by one process. */
export class ScriptedStore implements TransferConditions {
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
  private readonly contents = new ScriptedContents();
  private readonly watches: ScriptedWatches;
  /** Era that the process under test was told last. */
  private toldEra = 1;
  private readonly restoreListeners: Array<(era: number) => void> = [];

  constructor(private readonly clock: VirtualClock) {
    this.watches = new ScriptedWatches(clock, this.contents, {
      deliver: (value, transfer, resolve) =>
        this.deliver(value, transfer, resolve),
      onUnknown: () => this.noteAnswered(),
    });
  }

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
    this.watches.reset();
  }

  /** Stalls the waiting watches: they get no more answers, while new calls work. */
  stallWatches(): void {
    this.watches.stall();
  }

  /** Discards the history and resets the waiting watches. */
  compact(): void {
    this.contents.compact();
    this.resetWatches();
  }

  copy(): ScriptedCopy {
    return this.contents.copy();
  }

  /**
   * Returns to the state of a copy, so that what was written since is lost and counts of changes
   * are given out again. Resets the waiting watches.
   */
  restore(copy: ScriptedCopy): void {
    this.contents.restore(copy);
    this.resetWatches();
  }

  /** Tells the process under test that the store was restored, if an answer shows it. */
  private noteAnswered(): void {
    const {era} = this.contents;
    if (era === this.toldEra) return;
    this.toldEra = era;
    for (const listener of this.restoreListeners) listener(era);
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
      ) => this.watch({prefix, afterRevision, waitMs, signal, progressed}),
      onRestored: (listener: (era: number) => void) => {
        this.restoreListeners.push(listener);
      },
    } as Partial<MetadataStore> as MetadataStore;
  }

  private write(key: string, text: string): void {
    this.contents.write(key, text);
    this.watches.notify();
  }

  private erase(key: string): void {
    this.contents.erase(key);
    this.watches.notify();
  }

  private list(
    prefix: string,
    progressed?: () => void,
  ): Promise<StoreReply<StorePage>> {
    return this.answered(CALL_TIMEOUT_MS, progressed, () => ({
      items: this.contents.itemsBelow(prefix),
      hasMore: false,
      revision: this.contents.revision,
      transfer: {bytes: 0, tookMs: 0},
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
          this.deliver(page, {bytes, timeoutMs, progressed}, resolve);
        } else {
          resolve(failureOf(reachability));
        }
      });
    });
  }

  private watch(call: WatchCall): Promise<StoreReply<StoreChanges>> {
    const {reachability} = this;
    if (reachability === Reachability.ANSWERING) return this.watches.open(call);
    const delayMs =
      reachability === Reachability.SILENT
        ? call.waitMs + WATCH_MARGIN_MS
        : ROUND_TRIP_MS;
    return new Promise((resolve) => {
      this.clock.after(delayMs, () => resolve(failureOf(reachability)));
    });
  }

  private deliver<T extends StorePage | StoreChanges>(
    value: T,
    transfer: Transfer,
    resolve: (reply: StoreReply<T>) => void,
  ): void {
    transferAnswer(this.clock, this, value, transfer, (reply) => {
      if (reply.kind === 'ok') this.noteAnswered();
      resolve(reply);
    });
  }
}
