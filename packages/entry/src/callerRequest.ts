import type {Organisation} from '@lilacledge/config';
import type {Failure} from '@lilacledge/shared';
import type {ModelRoute, PlainRoute} from './organisationDirectory.js';

/** A validated request for a new generation. */
export interface GenerationRequest {
  readonly requestId: string;
  readonly organisation: Organisation;
  readonly route: ModelRoute;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly maxQueueMs: number;
  /** True if the caller can resume the stream with an event id. */
  readonly isResumable: boolean;
  readonly traceparent: string;
}

/** An authenticated request to resume a generation after a given event. */
export interface ResumeRequest {
  readonly requestId: string;
  readonly organisation: Organisation;
  readonly eventId: string;
  readonly traceparent: string;
}

/** A validated call of a plain service. */
export interface PlainCallRequest {
  readonly requestId: string;
  readonly organisation: Organisation;
  readonly route: PlainRoute;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: Uint8Array;
  /** Idempotency key; empty if the method may be repeated without one. */
  readonly key: string;
  readonly traceparent: string;
}

/**
 * Events of a caller's stream, in order. The last is `done` or `failed`, unless
 * the caller disconnects.
 */
export type StreamEvent =
  | {
      readonly type: 'tokens';
      /** Number of tokens of the generation before these. */
      readonly offset: number;
      readonly texts: readonly string[];
      /** Authenticated part that all event ids of the stream share. */
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

/** The final answer to a plain call. */
export type PlainAnswer =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly contentType: string;
      readonly body: Uint8Array;
      readonly isReplay: boolean;
    }
  | {readonly kind: 'failed'; readonly failure: Failure};
