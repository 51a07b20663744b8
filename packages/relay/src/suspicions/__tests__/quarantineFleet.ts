import {CrashSuspicions, Exposure, PART_PREFIX} from '@lilacledge/policy';
import type {Suspicion} from '@lilacledge/policy';
import {VirtualClock} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';
import {silentLog} from '../../log/boundedLog.js';
import {toRevision} from '../../model/index.js';
import type {MetadataStore, StoreItem, StoreReply} from '../../ports.js';
import {RequestSuspicions, SuspicionSource} from '../requestSuspicions.js';
import {storeQuarantines, storedSuspicionSection} from '../storedSuspicions.js';

const PREFIX = 'suspicions/';

const DEADLY_PART = `${PART_PREFIX}deadly`;

const ENTRY_COUNT = 4;

/** Time between two deadly requests, and from a send to its crash. */
const SEND_INTERVAL_MS = 200;
const CRASH_AFTER_MS = 30;

const GOSSIP_MS = 10;
const MAX_CALL_MS = 40;

/** Deadly requests begin within this time. */
const BEGIN_WITHIN_MS = 15_000;

/** Share of the quarantines whose writer ends at once, and until it is back. */
const DYING_WRITER_SHARE = 0.3;
const WRITER_BACK_AFTER_MS = 3_000;

/** A write whose answer is lost may be made this much later. */
const MAX_LATE_WRITE_MS = 1_000;

/** Delay of a watch, which batches changes. */
const MAX_WATCH_MS = 600;

/** Time for which others count a killed entry as a member. */
const MEMBER_LEASE_MS = 15_000;

type Section = ReturnType<typeof storedSuspicionSection>;

/** A copy of the store's keys, to which it may be restored. */
type Contents = ReadonlyMap<string, StoreItem>;

/** The store of the fleet, which may be down, lose answers and be restored. */
export class SimulatedStore {
  isDown = false;
  /** Share of the writes whose answer is lost. */
  lostShare = 0;
  private items = new Map<string, StoreItem>();
  private era = 1;
  private revision = 1;
  private readonly watchers = new Set<Section>();
  private readonly restoredListeners: Array<() => void> = [];

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: Random,
  ) {}

  get isEmpty(): boolean {
    return this.items.size === 0;
  }

  copy(): Contents {
    return new Map(this.items);
  }

  restore(copy: Contents): void {
    this.era++;
    this.revision = 1;
    this.items = new Map(copy);
    for (const listener of this.restoredListeners) listener();
    for (const section of this.watchers) this.list(section);
  }

  /** Delivers all keys, and the changes from now on; returns how to stop. */
  watch(section: Section): () => void {
    this.watchers.add(section);
    this.list(section);
    return () => this.watchers.delete(section);
  }

  /** The store answers again: watches are resumed. */
  comeBack(): void {
    this.isDown = false;
    for (const section of this.watchers) this.list(section);
  }

  /** The calls of an entry; one that has ended makes none. */
  portOf(isAlive: () => boolean): MetadataStore {
    const port: Partial<MetadataStore> = {
      put: ({key, value}) => this.call(isAlive, () => this.put(key, value)),
      remove: (key, revision) =>
        this.call(isAlive, () => {
          if (this.items.get(key)?.revision !== revision) return null;
          this.items.delete(key);
          this.notify((section) => section.deleted(key, 0, this.nextRevision));
          return null;
        }),
      onRestored: (listener) => {
        this.restoredListeners.push(() => listener(this.era));
      },
    };
    return port as MetadataStore;
  }

  private get nextRevision(): number {
    return toRevision(this.era, ++this.revision)!;
  }

  private put(key: string, value: Buffer): number {
    const revision = this.nextRevision;
    const item = {key, value, revision};
    this.items.set(key, item);
    this.notify((section) => section.read(item)(0));
    return revision;
  }

  private list(section: Section): void {
    for (const item of this.items.values()) section.read(item)(0);
    section.listed!(new Set(this.items.keys()), this.nextRevision);
  }

  private notify(deliver: (section: Section) => void): void {
    for (const section of this.watchers) {
      this.clock.after(this.random() * MAX_WATCH_MS, () => {
        const isHeard = this.watchers.has(section) && !this.isDown;
        if (isHeard) deliver(section);
      });
    }
  }

  private call<T>(
    isAlive: () => boolean,
    make: () => T,
  ): Promise<StoreReply<T>> {
    return new Promise((resolve) => {
      this.clock.after(this.random() * MAX_CALL_MS, () => {
        if (!isAlive()) return;
        if (this.isDown) {
          resolve({kind: 'refused', status: 503});
          return;
        }
        if (this.random() >= this.lostShare) {
          resolve({kind: 'ok', value: make()});
          return;
        }
        this.clock.after(this.random() * MAX_LATE_WRITE_MS, make);
        resolve({kind: 'unanswered', detail: 'the answer was lost'});
      });
    });
  }
}

/** An entry between its start and its end. */
interface LivingEntry {
  readonly name: string;
  readonly suspicions: RequestSuspicions;
  readonly startedMs: number;
  end(): void;
}

/** Entries to which requests come with a part that crashes each engine that runs it. */
export class QuarantineFleet {
  readonly clock = new VirtualClock();
  readonly store: SimulatedStore;
  readonly sendsMs: number[] = [];
  readonly crashesMs: number[] = [];
  /** Longest time for which the store was up and lacked a quarantine that an entry knew. */
  longestUnstoredMs = 0;
  private unstoredSinceMs: number | undefined;
  private readonly entries = new Map<string, LivingEntry>();
  private readonly killedMs = new Map<string, number>();
  private sequence = 0;

  constructor(private readonly random: Random) {
    this.store = new SimulatedStore(this.clock, random);
    for (let index = 1; index <= ENTRY_COUNT; index++) this.start(`e-${index}`);
    this.clock.after(random() * BEGIN_WITHIN_MS, () => {
      this.every(SEND_INTERVAL_MS, () => this.sendDeadly());
    });
  }

  get names(): string[] {
    return Array.from({length: ENTRY_COUNT}, (_, index) => `e-${index + 1}`);
  }

  /** True if an entry that lives, or the store, has the quarantine. */
  get isKnown(): boolean {
    return !this.store.isEmpty || this.isKnownToEntries;
  }

  /** Starts an entry, which learns what the store and the others know. */
  start(name: string): void {
    if (this.entries.has(name) || this.store.isDown) return;
    const stopped = new AbortController();
    const members = (): string[] => this.membersFor(name);
    const {clock} = this;
    const suspicions = new RequestSuspicions(clock, silentLog, {
      self: name,
      members,
    });
    storeQuarantines({
      store: this.store.portOf(() => !stopped.signal.aborted),
      prefix: PREFIX,
      clock,
      log: silentLog,
      suspicions,
      signal: stopped.signal,
    });
    suspicions.onChange((change, source) => {
      if (source !== SuspicionSource.OWN) return;
      this.tellOthers(name, change);
      if (suspicions.isQuarantined(DEADLY_PART)) this.mayEndWriter(name);
    });
    const unwatch = this.store.watch(
      storedSuspicionSection(PREFIX, suspicions, silentLog),
    );
    for (const other of this.entries.values()) {
      for (const known of other.suspicions.all) {
        this.tell(suspicions, known);
      }
    }
    const end = (): void => {
      stopped.abort();
      unwatch();
    };
    const startedMs = clock.nowMs();
    this.entries.set(name, {name, suspicions, startedMs, end});
  }

  kill(name: string): void {
    this.entries.get(name)?.end();
    this.entries.delete(name);
    this.killedMs.set(name, this.clock.nowMs());
  }

  private get isKnownToEntries(): boolean {
    return [...this.entries.values()].some(({suspicions}) =>
      suspicions.isQuarantined(DEADLY_PART),
    );
  }

  private membersFor(self: string): string[] {
    const nowMs = this.clock.nowMs();
    return this.names.filter((name) => {
      if (name === self || this.entries.has(name)) return true;
      return nowMs - (this.killedMs.get(name) ?? -Infinity) < MEMBER_LEASE_MS;
    });
  }

  /** The entry may end between its news to the others and its write. */
  private mayEndWriter(name: string): void {
    if (this.random() >= DYING_WRITER_SHARE) return;
    this.clock.after(GOSSIP_MS, () => this.kill(name));
    this.clock.after(WRITER_BACK_AFTER_MS, () => this.start(name));
  }

  private tellOthers(name: string, change: Suspicion): void {
    for (const other of this.entries.values()) {
      if (other.name !== name) this.tell(other.suspicions, change);
    }
  }

  private tell(suspicions: RequestSuspicions, change: Suspicion): void {
    this.clock.after(this.random() * GOSSIP_MS, () =>
      suspicions.merge(change, SuspicionSource.PEER),
    );
  }

  private sendDeadly(): void {
    this.noteStored();
    const entries = [...this.entries.values()];
    const entry = entries[Math.floor(this.random() * entries.length)];
    if (entry === undefined) return;
    const id = `r-${++this.sequence}`;
    const features = [id, DEADLY_PART];
    if (entry.suspicions.quarantineMs({id, features}) !== undefined) return;
    this.sendsMs.push(this.clock.nowMs());
    this.clock.after(CRASH_AFTER_MS, () => {
      this.crashesMs.push(this.clock.nowMs());
      if (this.entries.get(entry.name) !== entry) return;
      const seen = new CrashSuspicions(this.clock);
      const changes = seen.noteCrash(features, {
        life: `life-${id}`,
        exposure: Exposure.RUNNING,
        agoMs: 0,
        sentAgoMs: CRASH_AFTER_MS,
      });
      for (const change of changes) {
        entry.suspicions.merge(change, SuspicionSource.OWN);
      }
    });
  }

  private noteStored(): void {
    const nowMs = this.clock.nowMs();
    const isUnstored =
      this.store.isEmpty && !this.store.isDown && this.isKnownToEntries;
    this.unstoredSinceMs = isUnstored
      ? (this.unstoredSinceMs ?? nowMs)
      : undefined;
    const forMs = nowMs - (this.unstoredSinceMs ?? nowMs);
    this.longestUnstoredMs = Math.max(this.longestUnstoredMs, forMs);
  }

  private every(intervalMs: number, task: () => void): void {
    this.clock.after(intervalMs, () => {
      task();
      this.every(intervalMs, task);
    });
  }
}
