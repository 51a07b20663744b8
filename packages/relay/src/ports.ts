import type {LimitStatement} from '@lilacledge/policy';
import type {BodyTransfer} from './http/callHttp.js';
import type {
  CallerRequest,
  EndpointAddress,
  EndpointRecord,
  EngineReport,
  RawHeaders,
  ServingConfig,
} from './model/index.js';

export type {LimitStatement};

/** An item of the platform's metadata store. */
export interface StoreItem {
  readonly key: string;
  readonly value: Buffer;
  readonly revision: number;
}

/** A change that a watch saw. */
export type StoreChange =
  | {readonly kind: 'written'; readonly item: StoreItem}
  | {readonly kind: 'deleted'; readonly key: string; readonly revision: number};

/** Why a call to the store brought no result. */
export type StoreFailure =
  /** The history after the asked revision is gone. */
  | {readonly kind: 'compacted'}
  /** The key or the lease does not exist. */
  | {readonly kind: 'missing'}
  /** A condition of the transaction did not hold; nothing was done. */
  | {readonly kind: 'conflict'}
  /** The store turned the call away; nothing was done. */
  | {readonly kind: 'refused'; readonly status: number}
  /** No answer: a write may have taken effect, or may do so later. */
  | {readonly kind: 'unanswered'; readonly detail: string};

export type StoreReply<T> =
  {readonly kind: 'ok'; readonly value: T} | StoreFailure;

/** Items below a prefix; pages are no snapshot. */
export interface StorePage {
  readonly items: readonly StoreItem[];
  readonly hasMore: boolean;
  readonly revision: number;
  readonly transfer: BodyTransfer;
}

export interface StoreChanges {
  readonly changes: readonly StoreChange[];
  /** Where the next watch goes on. */
  readonly revision: number;
  readonly transfer: BodyTransfer;
}

/** A write under a lease; the key goes when the lease ends. */
export interface LeasedWrite {
  readonly key: string;
  readonly value: Buffer;
  readonly leaseId: number;
}

/** The platform's metadata store. No call rejects. */
export interface MetadataStore {
  /** Calls `begun` when an answer begins to come. */
  list(
    prefix: string,
    afterKey?: string,
    begun?: () => void,
  ): Promise<StoreReply<StorePage>>;
  /** Waits up to `waitMs` for changes after `afterRevision`. */
  watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<StoreReply<StoreChanges>>;
  /** Resolves with the id of the lease. */
  grantLease(ttlMs: number): Promise<StoreReply<number>>;
  renewLease(leaseId: number): Promise<StoreReply<null>>;
  endLease(leaseId: number): Promise<StoreReply<null>>;
  put(write: LeasedWrite): Promise<StoreReply<null>>;
}

/** A value of the platform, or why it cannot be used. */
export type Decoded<T> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly problem: string};

/** Memory from which a generation goes on instead of reading its prompt. */
export interface MemorySource {
  /** The endpoint that the memory was copied from, or that keeps it. */
  readonly address: EndpointAddress;
  /** Names the copy at both ends; can be used once. */
  readonly handle: string;
}

/** How a request is sent to one endpoint. */
export interface SendTerms {
  readonly endpointId: string;
  readonly timeLeftMs: number;
  readonly organisation?: string;
  /** True when the configuration has keys, which endpoints must not see. */
  readonly withholdsKey: boolean;
  readonly bodyBytes: number;
  readonly continueFrom?: MemorySource;
  /** Last event that the client has; set for a generation that goes on. */
  readonly lastEventId?: string;
  readonly isResumable: boolean;
}

/** What the head of an endpoint's answer says. */
export interface AnswerHead {
  readonly status: number;
  /** Headers to hand to the caller, raw. */
  readonly headers: RawHeaders;
  /** The request that the answer belongs to. */
  readonly requestId?: string;
  /** True when the endpoint states that it did not run the request. */
  readonly isNotRun: boolean;
  /** True when another endpoint has this address now. */
  readonly isMisdirected: boolean;
  readonly load?: EndpointLoad;
  /** The rate that the endpoint takes, as it says. */
  readonly limit: LimitStatement;
  /** True when the endpoint says that it leaves. */
  readonly saysLeaving: boolean;
  /** How long the endpoint wants nothing from this entry, as a rejection asks. */
  readonly restMs?: number;
}

/** An endpoint's own count of its work. */
export interface EndpointLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** A call of the engine's own interface. */
export interface EngineCall {
  readonly method: string;
  readonly path: string;
  readonly body?: string;
}

export type MoveReply =
  /** The copy is complete. */
  | {
      readonly kind: 'copied';
      readonly handle: string;
      readonly eventsMade: number;
    }
  | {readonly kind: 'noSuchRun'}
  | {readonly kind: 'busy'}
  /** No room or no way there; a stopped run is kept under the handle. */
  | {readonly kind: 'noRoom'; readonly handle?: string}
  | {readonly kind: 'failed'; readonly detail: string};

/** Translates between the platform's formats and the product's types. */
export interface WireCodec {
  readonly configKey: string;
  readonly endpointPrefix: string;
  /**
   * Keys under which entries register. Begins like those of endpoints and unlike the
   * configuration's, so that one watch covers both and no configuration.
   */
  readonly memberPrefix: string;
  /**
   * Keys of requests that are sent nowhere, which entries write; the fingerprint follows.
   * Begins like those of entries, so that the same watch brings them.
   */
  readonly suspicionPrefix: string;
  /** Begins the configuration's key and those of orders, and few others. */
  readonly operatorPrefix: string;
  /** Keys of operators' orders to evacuate a zone; the zone's name follows. */
  readonly evacuationPrefix: string;
  readRequest(
    method: string,
    target: string,
    rawHeaders: RawHeaders,
  ): CallerRequest;
  encodeSend(request: CallerRequest, terms: SendTerms): string[];
  readAnswer(status: number, rawHeaders: RawHeaders): AnswerHead;
  decodeConfig(value: Buffer): Decoded<ServingConfig>;
  decodeEndpoint(key: string, value: Buffer): Decoded<EndpointRecord>;
  /** The id of the endpoint that a store key stands for. */
  endpointIdOf(key: string): string;
  reportCall(): EngineCall;
  decodeReport(body: string): Decoded<EngineReport>;
  moveCall(
    requestId: string,
    destination: EndpointAddress,
    stopsRun: boolean,
  ): EngineCall;
  readMoveReply(status: number, body: string): MoveReply;
  /** Where the balancer asks whether this process is ready. */
  readonly readinessPath: string;
}
