import type {ConfigWrite} from '@lilacledge/config';
import type {Failure} from '@lilacledge/shared';

/** Version of the messages below; both ends of a link must agree on it. */
export const PROTOCOL_VERSION = 1;

/** Whether a sidecar takes new work. */
export const SidecarState = {SERVING: 'serving', DRAINING: 'draining'} as const;
export type SidecarState = (typeof SidecarState)[keyof typeof SidecarState];

/**
 * A sidecar's ownership of the keys of one slot: those minted in
 * [fromWallMs, untilWallMs).
 */
export interface SlotGrant {
  readonly slot: number;
  readonly fromWallMs: number;
  readonly untilWallMs: number;
}

/** A sidecar's account of its load; sent on change, at a bounded rate. */
export interface LoadReport {
  readonly state: SidecarState;
  readonly queued: number;
  readonly running: number;
  /** Tokens still expected of all that waits and runs. */
  readonly backlogTokens: number;
  /** Share of the engine's token memory in use, 0 to 1. */
  readonly memoryShare: number;
  /** Predicted wait before a new short request is admitted. */
  readonly predictedWaitMs: number;
  /** Measured time of one output token. */
  readonly tokenMs: number;
  /** Generations that the engine runs at once, at most. */
  readonly maxBatch: number;
}

/** First message of a link, from the sidecar. */
export interface Challenge {
  readonly type: 'challenge';
  readonly version: number;
  readonly nonce: string;
}

/** The entry's answer to a challenge. */
export interface Hello {
  readonly type: 'hello';
  readonly version: number;
  readonly instanceId: string;
  readonly zone: string;
  readonly nonce: string;
  readonly proof: string;
}

/** The sidecar's answer to a greeting; the link carries requests after it. */
export interface Welcome {
  readonly type: 'welcome';
  readonly instanceId: string;
  readonly incarnation: string;
  readonly service: string;
  readonly zone: string;
  readonly proof: string;
}

/** Asks for a new generation. */
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
  /** Events that the sidecar may send before it is given more credit. */
  readonly credit: number;
  /** Longest wait that the caller accepts before the first token. */
  readonly maxQueueMs: number;
  readonly traceparent: string;
}

/** Asks for the rest of a generation that is logged at this sidecar. */
export interface Resume {
  readonly type: 'resume';
  readonly callId: number;
  readonly generationId: string;
  readonly organisationId: string;
  readonly fromOffset: number;
  readonly credit: number;
}

/** Asks for one call of a plain service. */
export interface Call {
  readonly type: 'call';
  readonly callId: number;
  readonly requestId: string;
  readonly organisationId: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: Uint8Array;
  /** Empty for a call that may be repeated. */
  readonly key: string;
  readonly traceparent: string;
}

/** Lets the sidecar send `count` more events of a stream. */
export interface Credit {
  readonly type: 'credit';
  readonly callId: number;
  readonly count: number;
}

/** The reader of a stream is gone; `abandon` ends the generation at once. */
export interface Cancel {
  readonly type: 'cancel';
  readonly callId: number;
  readonly abandon: boolean;
}

/** Heartbeat of the entry. */
export interface Ping {
  readonly type: 'ping';
  readonly sequence: number;
  readonly revision: number;
}

/** The sidecar's answer to a heartbeat. */
export interface Pong {
  readonly type: 'pong';
  readonly sequence: number;
  readonly revision: number;
}

/** The generation is logged under this id and can be resumed by it. */
export interface Accepted {
  readonly type: 'accepted';
  readonly callId: number;
  readonly generationId: string;
}

/** Consecutive tokens of a generation; `offset` is that of the first. */
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

/** The call is over without its answer. */
export interface Failed {
  readonly type: 'failed';
  readonly callId: number;
  readonly failure: Failure;
}

/** The plain service's answer. */
export interface Result {
  readonly type: 'result';
  readonly callId: number;
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
  /** True when the answer comes from the record of an earlier run. */
  readonly isReplay: boolean;
}

export interface Report {
  readonly type: 'report';
  readonly load: LoadReport;
}

/** The slots that a sidecar owns; sent on change. */
export interface Slots {
  readonly type: 'slots';
  readonly grants: readonly SlotGrant[];
}

/** The sender knows this revision of the configuration. */
export interface ConfigOffer {
  readonly type: 'configOffer';
  readonly revision: number;
}

/** The sender wants the newest configuration and says what it has. */
export interface ConfigRequest {
  readonly type: 'configRequest';
  /** 0 for none. */
  readonly knownRevision: number;
}

/** The newest configuration, as changes to `baseRevision`; 0 for the whole. */
export interface ConfigTransfer {
  readonly type: 'configTransfer';
  readonly baseRevision: number;
  readonly revision: number;
  /** Part names to content hashes, of parts that differ from the base. */
  readonly parts: Readonly<Record<string, string>>;
  readonly removedParts: readonly string[];
  /** Writes since the base, newest first. */
  readonly writes: readonly ConfigWrite[];
  /** Contents of `parts`. */
  readonly texts: readonly string[];
}

/** Tells a sidecar to drain; sent for an operator. */
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
