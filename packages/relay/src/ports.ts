import type {LimitAnnouncement} from '@lilacledge/policy';
import type {BodyTransfer} from './http/callHttp.js';
import type {
  CallerRequest,
  EndpointAddress,
  EndpointRecord,
  EngineReport,
  RawHeaders,
  ServingConfig,
} from './model/index.js';

export type {LimitAnnouncement};

/** A key and its value in the platform's metadata store. */
export interface StoreItem {
  readonly key: string;
  readonly value: Buffer;
  /** As `toRevision` makes it, like all revisions of this interface. */
  readonly revision: number;
}

/** A change that a watch reported. */
export type StoreChange =
  | {readonly kind: 'written'; readonly item: StoreItem}
  | {readonly kind: 'deleted'; readonly key: string; readonly revision: number};

/** Why a call to the store failed. */
export type StoreFailure =
  /**
   * The changes since the requested revision are not available, never happened, or are too large
   * for one answer (with the `detail`).
   */
  | {readonly kind: 'compacted'; readonly detail?: string}
  /** The key or the lease does not exist. */
  | {readonly kind: 'missing'}
  /** A condition of the transaction did not hold; nothing was done. */
  | {readonly kind: 'conflict'}
  /** The store rejected the call; nothing was done. */
  | {readonly kind: 'refused'; readonly status: number}
  /** No answer arrived: a write may have taken effect, or may still do so. */
  | {readonly kind: 'unanswered'; readonly detail: string};

export type StoreReply<T> =
  {readonly kind: 'ok'; readonly value: T} | StoreFailure;

/** An item or a change of an answer that can't be read, wholly or in part. */
export interface UnreadableItem {
  /** Undefined if the key can't be read either. */
  readonly key?: string;
  readonly problem: string;
}

/** Items whose keys have a prefix. Successive pages don't form a snapshot. */
export interface StorePage {
  readonly items: readonly StoreItem[];
  /** The store holds their keys, though `items` may lack them. */
  readonly unreadable?: readonly UnreadableItem[];
  /** Key after which the next page begins; by default that of the last item. */
  readonly lastKey?: string;
  readonly hasMore: boolean;
  readonly revision: number;
  readonly transfer: BodyTransfer;
}

/** Changes that a watch reported. */
export interface StoreChanges {
  readonly changes: readonly StoreChange[];
  /** Changes that `changes` lacks, or has without their values. */
  readonly unreadable?: readonly UnreadableItem[];
  /** Revision after which the next watch continues. */
  readonly revision: number;
  readonly transfer: BodyTransfer;
}

/** A lease. After the store was restored, its id may belong to the lease of another process. */
export interface Lease {
  readonly id: number;
  /** The store's era in which it was granted. */
  readonly era: number;
}

/** A write of one key. */
export interface StoreWrite {
  readonly key: string;
  readonly value: Buffer;
  /** The store deletes the key when this lease ends; without one it keeps the key. */
  readonly lease?: Lease;
}

/** The platform's metadata store. Calls resolve with failures and never reject. */
export interface MetadataStore {
  /**
   * Reads one page of items; calls `progressed` as the answer starts, with 0, and with the size of
   * each part that arrives.
   */
  list(
    prefix: string,
    afterKey?: string,
    progressed?: (bytes: number) => void,
    signal?: AbortSignal,
  ): Promise<StoreReply<StorePage>>;
  /** Waits up to `waitMs` for changes after `afterRevision`. */
  watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
    progressed?: (bytes: number) => void,
  ): Promise<StoreReply<StoreChanges>>;
  grantLease(ttlMs: number): Promise<StoreReply<Lease>>;
  /** Fails with `missing` if the lease has ended or was granted in another era. */
  renewLease(lease: Lease): Promise<StoreReply<null>>;
  /** Resolves with the revision of the write; under a lease it fails like `renewLease`. */
  put(write: StoreWrite): Promise<StoreReply<number>>;
  /** Deletes a key if it was last written at `revision`; fails with `conflict` otherwise. */
  remove(key: string, revision: number): Promise<StoreReply<null>>;
  /**
   * Calls `listener` when an answer shows that the store was restored from an older copy, before
   * the call that got the answer resolves.
   */
  onRestored(listener: (era: number) => void): void;
}

/** A decoded value of the platform, or the reason why decoding failed. */
export type Decoded<T> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly problem: string};

/** KV cache memory from which a generation continues instead of prefilling its prompt. */
export interface MemorySource {
  /** The endpoint that the memory was copied from, or that holds it. */
  readonly address: EndpointAddress;
  /** Identifies the copy at both endpoints; valid for one use. */
  readonly handle: string;
}

/** Parameters for sending a request to one endpoint. */
export interface SendParameters {
  readonly endpointId: string;
  readonly timeLeftMs: number;
  readonly organisation?: string;
  /** True if the configuration requires API keys, which must not be forwarded to endpoints. */
  readonly stripsApiKey: boolean;
  readonly bodyBytes: number;
  readonly continueFrom?: MemorySource;
  /** Id of the last event that the caller has; replaces the one that the caller sent. */
  readonly lastEventId?: string;
  /** Place in the engine's queue, 0 first; absent where engines keep their usual order. */
  readonly enginePriority?: number;
}

/** The decoded head of an endpoint's answer. */
export interface AnswerHead {
  readonly status: number;
  /** Raw headers to forward to the caller. */
  readonly headers: RawHeaders;
  /** Id of the request that the answer belongs to. */
  readonly requestId?: string;
  /** True if the endpoint states that it did not run the request. */
  readonly isNotRun: boolean;
  /** True if another endpoint uses this address now. */
  readonly isMisdirected: boolean;
  readonly load?: EndpointLoad;
  /** The rate limit that the endpoint announces. */
  readonly limit: LimitAnnouncement;
  /** True if the endpoint announces that it leaves. */
  readonly saysLeaving: boolean;
  /** How long this entry should send nothing to the endpoint; requested by a rejection. */
  readonly restMs?: number;
}

/** The load that an endpoint reports in its answers. */
export interface EndpointLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /**
   * How long work takes there now, where 100 is usual; undefined if it is not reported.
   * Over 0, and at most 10,000.
   */
  readonly pacePercent?: number;
}

/** A call to the engine's own HTTP interface. */
export interface EngineCall {
  readonly method: string;
  readonly path: string;
  readonly body?: string;
}

/** The engine's reply to a request to move a run. */
export type MoveReply =
  /** The copy is complete. */
  | {
      readonly kind: 'copied';
      readonly handle: string;
      readonly eventsMade: number;
    }
  | {readonly kind: 'noSuchRun'}
  | {readonly kind: 'busy'}
  /** The destination has no room or can't be reached; a stopped run is kept under the handle. */
  | {readonly kind: 'noRoom'; readonly handle?: string}
  | {readonly kind: 'failed'; readonly detail: string};

/** Translates between the platform's wire formats and the types of the relay. */
export interface WireCodec {
  readonly configKey: string;
  readonly endpointPrefix: string;
  /**
   * Prefix of the keys under which entries register. Shares a prefix with endpoint keys but not
   * with the configuration key, so that one watch covers entries and endpoints alone.
   */
  readonly memberPrefix: string;
  /**
   * Prefix of the keys under which entries store quarantined requests, followed by the request
   * fingerprint. Shares a prefix with entry keys, so that the same watch covers both.
   */
  readonly suspicionPrefix: string;
  /** Common prefix of the configuration key and the evacuation keys; few other keys have it. */
  readonly operatorPrefix: string;
  /** Prefix of the keys of operators' evacuation orders, followed by the zone name. */
  readonly evacuationPrefix: string;
  readRequest(
    method: string,
    target: string,
    rawHeaders: RawHeaders,
  ): CallerRequest;
  encodeSend(request: CallerRequest, terms: SendParameters): string[];
  readAnswer(status: number, rawHeaders: RawHeaders): AnswerHead;
  decodeConfig(value: Buffer): Decoded<ServingConfig>;
  decodeEndpoint(key: string, value: Buffer): Decoded<EndpointRecord>;
  /** Returns the id of the endpoint that is registered under a store key. */
  endpointIdOf(key: string): string;
  reportCall(): EngineCall;
  decodeReport(body: string): Decoded<EngineReport>;
  moveCall(
    requestId: string,
    destination: EndpointAddress,
    stopsRun: boolean,
  ): EngineCall;
  readMoveReply(status: number, body: string): MoveReply;
  /** Path of the balancer's readiness check. */
  readonly readinessPath: string;
}
