import type {
  CompareAndSwapResult,
  Member,
  StoreCondition,
  StoredValue,
  StoreWrite,
} from '@lilacledge/store';
import type {Clock} from '@lilacledge/shared';

interface KeyRecord {
  readonly value: string;
  readonly modRevision: number;
  readonly leaseId: string;
}

interface Lease {
  readonly ttlMs: number;
  expiresAtMs: number;
}

/**
 * Number of calls by kind, and of watches that are open now. A watch counts as
 * one call.
 */
export interface PlatformCounters {
  reads: number;
  writes: number;
  watches: number;
  waitingWatches: number;
  membershipReads: number;
}

/**
 * State of the key-value store and the membership list, and faults that change
 * this state.
 */
export class PlatformModel {
  readonly counters: PlatformCounters = {
    reads: 0,
    writes: 0,
    watches: 0,
    waitingWatches: 0,
    membershipReads: 0,
  };
  members: Member[] = [];
  private records = new Map<string, KeyRecord>();
  private revision = 1;
  private readonly leases = new Map<string, Lease>();
  private leaseSequence = 0;
  private readonly watchers = new Set<(changed: StoredValue) => void>();
  private snapshot: Map<string, KeyRecord> | undefined;

  constructor(private readonly clock: Clock) {}

  get storeRevision(): number {
    return this.revision;
  }

  range(from: string, end?: string): StoredValue[] {
    this.counters.reads++;
    this.expireLeases();
    if (end === undefined) {
      const record = this.records.get(from);
      return record === undefined ? [] : [toStored(from, record)];
    }
    return [...this.records]
      .filter(([key]) => key >= from && key < end)
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([key, record]) => toStored(key, record));
  }

  transact(
    conditions: readonly StoreCondition[],
    writes: readonly StoreWrite[],
  ): CompareAndSwapResult {
    this.counters.writes++;
    this.expireLeases();
    const conditionsHold = conditions.every(
      ({key, modRevision}) =>
        (this.records.get(key)?.modRevision ?? 0) === modRevision,
    );
    if (!conditionsHold) return {outcome: 'conflict'};
    this.revision++;
    for (const write of writes) this.set(write);
    return {outcome: 'swapped', modRevision: this.revision};
  }

  grantLease(ttlMs: number): string {
    this.counters.writes++;
    const id = String(++this.leaseSequence);
    this.leases.set(id, {ttlMs, expiresAtMs: this.clock.nowMs() + ttlMs});
    return id;
  }

  keepLeaseAlive(id: string): number {
    this.counters.writes++;
    this.expireLeases();
    const lease = this.leases.get(id);
    if (lease === undefined) return 0;
    lease.expiresAtMs = this.clock.nowMs() + lease.ttlMs;
    return lease.ttlMs;
  }

  revokeLease(id: string): void {
    this.counters.writes++;
    this.dropLease(id);
  }

  /**
   * Expires every lease at once and deletes the keys that are attached to them.
   */
  lapseLeases(): void {
    for (const id of [...this.leases.keys()]) this.dropLease(id);
  }

  watch(onChange: (changed: StoredValue) => void): () => void {
    this.counters.watches++;
    this.counters.waitingWatches++;
    this.watchers.add(onChange);
    return () => {
      if (this.watchers.delete(onChange)) this.counters.waitingWatches--;
    };
  }

  /** Takes a snapshot of all keys for a later `restore`. */
  save(): void {
    this.snapshot = new Map(this.records);
  }

  /**
   * Restores the keys of the snapshot, as a restored backup would; the revision
   * keeps growing.
   */
  restore(): void {
    if (this.snapshot !== undefined) this.records = new Map(this.snapshot);
  }

  private set(write: StoreWrite): void {
    const record: KeyRecord = {
      value: write.value,
      modRevision: this.revision,
      leaseId: write.leaseId ?? '',
    };
    this.records.set(write.key, record);
    for (const notify of this.watchers) notify(toStored(write.key, record));
  }

  private expireLeases(): void {
    const nowMs = this.clock.nowMs();
    for (const [id, lease] of this.leases) {
      if (lease.expiresAtMs <= nowMs) this.dropLease(id);
    }
  }

  private dropLease(id: string): void {
    this.leases.delete(id);
    for (const [key, record] of this.records) {
      if (record.leaseId === id) this.records.delete(key);
    }
  }
}

function toStored(key: string, record: KeyRecord): StoredValue {
  return {key, value: record.value, modRevision: record.modRevision};
}
