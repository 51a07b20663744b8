import type {Organisation} from '@lilacledge/config';
import type {Failure} from '@lilacledge/shared';
import type {ModelRoute, PlainRoute} from './organisationDirectory.js';

/** A checked request for a generation. */
export interface GenerationRequest {
  readonly requestId: string;
  readonly organisation: Organisation;
  readonly route: ModelRoute;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly maxQueueMs: number;
  /** True when the caller can come back with an event id. */
  readonly isResumable: boolean;
  readonly traceparent: string;
}

/** A checked request to go on with a generation. */
export interface ResumeRequest {
  readonly requestId: string;
  readonly organisation: Organisation;
  readonly eventId: string;
  readonly traceparent: string;
}

/** A checked call of a plain service. */
export interface PlainCallRequest {
  readonly requestId: string;
  readonly organisation: Organisation;
  readonly route: PlainRoute;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: Uint8Array;
  /** Idempotency key; empty when the call may be repeated. */
  readonly key: string;
  readonly traceparent: string;
}

/** What a caller's stream brings, in order; the last one is an end. */
export type StreamEvent =
  | {
      readonly type: 'tokens';
      /** Number of tokens before these. */
      readonly offset: number;
      readonly texts: readonly string[];
      /** Keyed part of the event ids. */
      readonly streamTag: string;
    }
  | {
      readonly type: 'done';
      readonly finishReason: string;
      readonly promptTokens: number;
      readonly completionTokens: number;
      readonly streamTag: string;
    }
  | {readonly type: 'failed'; readonly failure: Failure};

/** The final answer of a plain call. */
export type PlainAnswer =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly contentType: string;
      readonly body: Uint8Array;
      readonly isReplay: boolean;
    }
  | {readonly kind: 'failed'; readonly failure: Failure};
