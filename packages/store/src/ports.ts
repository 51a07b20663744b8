/** A key with its value and the revision of the store that wrote it. */
export interface StoredValue {
  readonly key: string;
  readonly value: string;
  readonly modRevision: number;
}

/** A write of a key, alone or in an atomic transaction. */
export interface StoreWrite {
  readonly key: string;
  readonly value: string;
  /** Lease whose end deletes the key. */
  readonly leaseId?: string;
}

/** Precondition of a transaction: the key has this revision, or doesn't exist if that is 0. */
export interface StoreCondition {
  readonly key: string;
  readonly modRevision: number;
}

export type CompareAndSwapResult =
  | {readonly outcome: 'swapped'; readonly modRevision: number}
  | {readonly outcome: 'conflict'};

/** The platform's small key-value service. Every call may throw `StoreError`. */
export interface KeyValueStore {
  get(key: string): Promise<StoredValue | undefined>;
  list(prefix: string): Promise<StoredValue[]>;
  put(write: StoreWrite): Promise<void>;
  /** Applies all writes atomically if all conditions hold. */
  compareAndSwap(
    conditions: readonly StoreCondition[],
    writes: readonly StoreWrite[],
  ): Promise<CompareAndSwapResult>;
  grantLease(ttlMs: number): Promise<string>;
  /** Renews a lease and returns its remaining time in milliseconds; 0 if it has expired. */
  keepLeaseAlive(leaseId: string): Promise<number>;
  revokeLease(leaseId: string): Promise<void>;
  /** Yields each new value of `key`, but no deletions; ends or throws when the watch breaks. */
  watch(key: string, signal: AbortSignal): AsyncIterable<StoredValue>;
}

/** Role of an instance in the membership list. */
export const MemberRole = {ENTRY: 'entry', SIDECAR: 'sidecar'} as const;
export type MemberRole = (typeof MemberRole)[keyof typeof MemberRole];

/** An instance in the platform's membership list. */
export interface Member {
  readonly instanceId: string;
  readonly role: MemberRole;
  /** Service of a sidecar; empty for an entry. */
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  readonly leaving: boolean;
}

/** The platform's membership list, which may be out of date. */
export interface MembershipList {
  read(): Promise<Member[]>;
}
