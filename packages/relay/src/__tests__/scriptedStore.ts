import {assertNever} from '@lilacledge/shared';
import type {CancelTimer, VirtualClock} from '@lilacledge/shared';
import {EndpointState} from '../model/index.js';
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
import type {SmallLink} from './smallLink.js';

/** What becomes of a new call of the process under test. */
export const Reach = {
  /** It is answered. */
  ANSWERS: 'answers',
  /** It is turned away at once. */
  REFUSES: 'refuses',
  /** It is never answered. */
  SILENT: 'silent',
} as const;
export type Reach = (typeof Reach)[keyof typeof Reach];

/** One way there and back, with the store's own time. */
const ANSWER_MS = 4;

/** A client gives a call up after this, and a watch after its wait and this. */
const CALL_TIMEOUT_MS = 1_500;
const WATCH_MARGIN_MS = 700;

/** Where the configuration is. */
export const CONFIG_KEY = 'op/config';

/** Where entries register. */
export const MEMBER_PREFIX = 'serving/entries/';
export const SUSPICION_PREFIX = 'serving/suspicions/';

/** Where operators write. */
export const OPERATOR_PREFIX = 'op/';

/** Where operators order zones to be evacuated. */
export const EVACUATION_PREFIX = 'op/evacuate/';

/** Where endpoints register. */
export const ENDPOINT_PREFIX = 'servers/';

const AT_ONCE = {bytes: 0, tookMs: 0};

/** Bytes of an answer, and of an item in it, besides the values. */
const ENVELOPE_BYTES = 150;

interface OpenWatch {
  readonly prefix: string;
  readonly afterRevision: number;
  readonly settle: (reply: StoreReply<StoreChanges>) => void;
  /** When the call has reached the store. */
  readonly waitsFromMs: number;
  isDeaf: boolean;
}

/** A store on the virtual clock, as one process reaches it. */
export class ScriptedStore {
  reach: Reach = Reach.ANSWERS;
  /** The link that answers come over; without one they take no time. */
  link: SmallLink | undefined;
  /** How much later answers come than the store gives them. */
  lateMs = 0;
  /** Of the newest configuration. */
  configVersion = 0;
  private revision = 1;
  private readonly items = new Map<string, StoreItem>();
  private changes: StoreChange[] = [];
  private oldest = 0;
  private readonly watches = new Set<OpenWatch>();

  constructor(private readonly clock: VirtualClock) {}

  /** The operator writes a configuration of that many bytes. */
  configure(bytes = 0): void {
    this.configVersion++;
    this.write(CONFIG_KEY, `${this.configVersion}`.padEnd(bytes));
  }

  /** The operator evacuates a zone. */
  evacuate(zone: string): void {
    this.write(`${EVACUATION_PREFIX}${zone}`, '{}');
  }

  /** The operator takes a zone back. */
  takeBack(zone: string): void {
    this.erase(`${EVACUATION_PREFIX}${zone}`);
  }

  /** An endpoint of another service changes its registration. */
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

  /** Registers an endpoint of the service `bookings`, or changes it. */
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

  /** The endpoint leaves, as some say beforehand and others do not. */
  leave(id: string, says: boolean): void {
    if (says) this.register(id, EndpointState.DRAINING);
    else this.unregister(id);
  }

  /** Resets the watches that wait; the next ones work. */
  cutWatches(): void {
    const nowMs = this.clock.nowMs();
    const waiting = [...this.watches].filter(
      ({waitsFromMs}) => waitsFromMs <= nowMs,
    );
    for (const watch of waiting) {
      watch.settle({kind: 'unanswered', detail: 'connection reset'});
    }
  }

  /** Watches that wait hear nothing more, while new calls are answered. */
  deafenWatches(): void {
    for (const watch of this.watches) watch.isDeaf = true;
  }

  /** Forgets the history, and cuts what waits for more of it. */
  compact(): void {
    this.oldest = this.revision;
    this.changes = [];
    this.cutWatches();
  }

  /** The calls that a process makes. */
  get port(): MetadataStore {
    return {
      list: (prefix: string) => this.list(prefix),
      watch: (
        prefix: string,
        afterRevision: number,
        waitMs: number,
        signal: AbortSignal,
      ) => this.watch(prefix, afterRevision, waitMs, signal),
    } as Partial<MetadataStore> as MetadataStore;
  }

  private write(key: string, text: string): void {
    const revision = ++this.revision;
    const item: StoreItem = {key, value: Buffer.from(text), revision};
    this.items.set(key, item);
    this.tell({kind: 'written', item});
  }

  private erase(key: string): void {
    this.items.delete(key);
    this.tell({kind: 'deleted', key, revision: ++this.revision});
  }

  private list(prefix: string): Promise<StoreReply<StorePage>> {
    return this.answered(CALL_TIMEOUT_MS, () => ({
      items: [...this.items.values()].filter(({key}) => key.startsWith(prefix)),
      hasMore: false,
      revision: this.revision,
      transfer: AT_ONCE,
    }));
  }

  private answered(
    timeoutMs: number,
    answer: () => StorePage,
  ): Promise<StoreReply<StorePage>> {
    const {reach} = this;
    return new Promise((resolve) => {
      const delayMs = reach === Reach.SILENT ? timeoutMs : ANSWER_MS;
      this.clock.after(delayMs, () => {
        if (reach === Reach.ANSWERS) {
          const page = answer();
          this.bring(page, bytesOf(page.items), timeoutMs, resolve);
        } else {
          resolve(failureOf(reach));
        }
      });
    });
  }

  private watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<StoreReply<StoreChanges>> {
    const {reach} = this;
    if (reach !== Reach.ANSWERS) {
      const delayMs =
        reach === Reach.SILENT ? waitMs + WATCH_MARGIN_MS : ANSWER_MS;
      return new Promise((resolve) => {
        this.clock.after(delayMs, () => resolve(failureOf(reach)));
      });
    }
    return new Promise((resolve) => {
      const watch: OpenWatch = {
        prefix,
        afterRevision,
        isDeaf: false,
        waitsFromMs: this.clock.nowMs() + ANSWER_MS,
        settle: (reply) => {
          this.watches.delete(watch);
          signal.removeEventListener('abort', abort);
          if (reply.kind !== 'ok') {
            resolve(reply);
            return;
          }
          const items = reply.value.changes.flatMap((change) =>
            change.kind === 'written' ? [change.item] : [],
          );
          const leftMs =
            watch.waitsFromMs + waitMs + WATCH_MARGIN_MS - this.clock.nowMs();
          this.bring(reply.value, bytesOf(items), leftMs, resolve);
        },
      };
      const abort = (): void => {
        watch.settle({kind: 'unanswered', detail: 'aborted'});
      };
      this.watches.add(watch);
      this.clock.after(ANSWER_MS, () => this.answerWatch(watch, false));
      this.clock.after(ANSWER_MS + waitMs, () => {
        this.answerWatch(watch, true);
      });
      this.clock.after(waitMs + WATCH_MARGIN_MS, () => {
        if (!this.watches.has(watch)) return;
        watch.settle({kind: 'unanswered', detail: 'timeout'});
      });
      signal.addEventListener('abort', abort);
    });
  }

  /** Hands an answer over once it has come whole, unless that takes too long. */
  private bring<T extends StorePage | StoreChanges>(
    value: T,
    bytes: number,
    timeoutMs: number,
    resolve: (reply: StoreReply<T>) => void,
  ): void {
    let cancel: CancelTimer = () => {};
    const cancelTimeout = this.clock.after(timeoutMs, () => {
      cancel();
      resolve({kind: 'unanswered', detail: 'timeout'});
    });
    const whole = (tookMs: number): void => {
      cancelTimeout();
      resolve({kind: 'ok', value: {...value, transfer: {bytes, tookMs}}});
    };
    cancel = this.clock.after(this.lateMs, () => {
      if (this.link === undefined) whole(0);
      else cancel = this.link.receive(bytes, {whole});
    });
  }

  private tell(change: StoreChange): void {
    this.changes.push(change);
    this.clock.after(ANSWER_MS, () => {
      for (const watch of [...this.watches]) this.answerWatch(watch, false);
    });
  }

  private answerWatch(watch: OpenWatch, isOver: boolean): void {
    if (watch.isDeaf || !this.watches.has(watch)) return;
    if (watch.afterRevision < this.oldest) {
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
    watch.settle({kind: 'ok', value: {changes, revision, transfer: AT_ONCE}});
  }
}

function failureOf(
  reach: typeof Reach.REFUSES | typeof Reach.SILENT,
): StoreFailure {
  switch (reach) {
    case Reach.REFUSES:
      return {kind: 'refused', status: 503};
    case Reach.SILENT:
      return {kind: 'unanswered', detail: 'timeout'};
    default:
      return assertNever(reach);
  }
}

/** Values travel in base64. */
function bytesOf(items: readonly StoreItem[]): number {
  const values = items.map(
    ({value}) => ENVELOPE_BYTES + (value.length * 4) / 3,
  );
  return values.reduce((sum, bytes) => sum + bytes, ENVELOPE_BYTES);
}

function keyOf(change: StoreChange): string {
  return change.kind === 'written' ? change.item.key : change.key;
}

function revisionOf(change: StoreChange): number {
  return change.kind === 'written' ? change.item.revision : change.revision;
}
