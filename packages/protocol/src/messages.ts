import type {ConfigWrite} from '@lilacledge/config';
import type {Failure} from '@lilacledge/shared';

/** Protocol version; both ends of a link must have the same. */
export const PROTOCOL_VERSION = 1;

/** Whether a sidecar accepts new requests. */
export const SidecarState = {SERVING: 'serving', DRAINING: 'draining'} as const;
export type SidecarState = (typeof SidecarState)[keyof typeof SidecarState];

/**
 * A sidecar's ownership of the keys of one slot that were minted in
 * [fromWallMs, untilWallMs).
 */
export interface SlotGrant {
  readonly slot: number;
  readonly fromWallMs: number;
  readonly untilWallMs: number;
}

/** Load of a sidecar; sent on change, at a limited rate. */
export interface LoadReport {
  readonly state: SidecarState;
  readonly queued: number;
  readonly running: number;
  /** Expected remaining tokens of all queued and running requests. */
  readonly backlogTokens: number;
  /** Share of the engine's token memory in use, 0 to 1. */
  readonly memoryShare: number;
  /** Predicted wait until a new short request is admitted. */
  readonly predictedWaitMs: number;
  /** Measured time per output token. */
  readonly tokenMs: number;
  /** Maximum number of generations that the engine runs at once. */
  readonly maxBatch: number;
}

/** First message of a link: the sidecar's nonce. */
export interface Challenge {
  readonly type: 'challenge';
  readonly version: number;
  readonly nonce: string;
}

/** The entry's reply to a challenge: its identity and proof of the shared key. */
export interface Hello {
  readonly type: 'hello';
  readonly version: number;
  readonly instanceId: string;
  readonly zone: string;
  readonly nonce: string;
  readonly proof: string;
}

/** The sidecar's reply to a hello; it ends the handshake, and requests may follow. */
export interface Welcome {
  readonly type: 'welcome';
  readonly instanceId: string;
  readonly incarnation: string;
  readonly service: string;
  readonly zone: string;
  readonly proof: string;
}

/** Starts a generation. */
export interface Submit {
  readonly type: 'submit';
  readonly callId: number;
  readonly requestId: string;
  readonly organisationId: string;
  readonly priority: number;
  readonly model: string;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Events that the sidecar may send before it receives more credit. */
  readonly credit: number;
  /** Maximum time to the first token that the caller accepts. */
  readonly maxQueueMs: number;
  readonly traceparent: string;
}

/** Requests the rest of a generation whose log this sidecar keeps. */
export interface Resume {
  readonly type: 'resume';
  readonly callId: number;
  readonly generationId: string;
  readonly organisationId: string;
  readonly fromOffset: number;
  readonly credit: number;
}

/** Makes one call of a plain service. */
export interface Call {
  readonly type: 'call';
  readonly callId: number;
  readonly requestId: string;
  readonly organisationId: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: Uint8Array;
  /** Idempotency key; empty for a call that may be repeated. */
  readonly key: string;
  readonly traceparent: string;
}

/** Allows the sidecar to send `count` more events of a stream. */
export interface Credit {
  readonly type: 'credit';
  readonly callId: number;
  readonly count: number;
}

/**
 * The reader of a stream has disconnected. `abandon` ends the generation at once,
 * without waiting for the reader to resume.
 */
export interface Cancel {
  readonly type: 'cancel';
  readonly callId: number;
  readonly abandon: boolean;
}

/** Heartbeat from the entry; `revision` is that of its active configuration. */
export interface Ping {
  readonly type: 'ping';
  readonly sequence: number;
  readonly revision: number;
}

/** The sidecar's reply to a heartbeat; `revision` is that of its active configuration. */
export interface Pong {
  readonly type: 'pong';
  readonly sequence: number;
  readonly revision: number;
}

/** The generation is logged under this id and can be resumed with it. */
export interface Accepted {
  readonly type: 'accepted';
  readonly callId: number;
  readonly generationId: string;
}

/** Consecutive tokens of a generation; `offset` is the index of the first. */
export interface Tokens {
  readonly type: 'tokens';
  readonly callId: number;
  readonly offset: number;
  readonly texts: readonly string[];
}

/** The generation is complete after `offset` tokens. */
export interface Done {
  readonly type: 'done';
  readonly callId: number;
  readonly offset: number;
  readonly finishReason: string;
  readonly promptTokens: number;
}

/** The call has ended without an answer. */
export interface Failed {
  readonly type: 'failed';
  readonly callId: number;
  readonly failure: Failure;
}

/** The answer of a plain service. */
export interface Result {
  readonly type: 'result';
  readonly callId: number;
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
  /** True if the answer was recorded in an earlier call with the same key. */
  readonly isReplay: boolean;
}

/** The current load of a sidecar. */
export interface Report {
  readonly type: 'report';
  readonly load: LoadReport;
}

/** The slots that a sidecar owns; sent on change. */
export interface Slots {
  readonly type: 'slots';
  readonly grants: readonly SlotGrant[];
}

/** Offers the sender's active configuration revision. */
export interface ConfigOffer {
  readonly type: 'configOffer';
  readonly revision: number;
}

/** Requests the newest configuration, given the revision that the sender has. */
export interface ConfigRequest {
  readonly type: 'configRequest';
  /** 0 if the sender has none. */
  readonly knownRevision: number;
}

/** The newest configuration, as a delta to `baseRevision`; whole if that is 0. */
export interface ConfigTransfer {
  readonly type: 'configTransfer';
  readonly baseRevision: number;
  readonly revision: number;
  /** Part name to content hash, for each part that differs from the base. */
  readonly parts: Readonly<Record<string, string>>;
  readonly removedParts: readonly string[];
  /** Writes since the base, newest first. */
  readonly writes: readonly ConfigWrite[];
  /** Contents of the parts in `parts`. */
  readonly texts: readonly string[];
}

/** Makes a sidecar drain, on behalf of an operator. */
export interface Drain {
  readonly type: 'drain';
  readonly reason: string;
}

export type EntryMessage =
  | Hello
  | Submit
  | Resume
  | Call
  | Credit
  | Cancel
  | Ping
  | Drain
  | ConfigOffer
  | ConfigRequest
  | ConfigTransfer;

export type SidecarMessage =
  | Challenge
  | Welcome
  | Accepted
  | Tokens
  | Done
  | Failed
  | Result
  | Report
  | Slots
  | Pong
  | ConfigOffer
  | ConfigRequest
  | ConfigTransfer;

export type Message = EntryMessage | SidecarMessage;
export type MessageType = Message['type'];
