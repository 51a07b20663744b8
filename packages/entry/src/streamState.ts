import type {Failure} from '@lilacledge/shared';
import type {SidecarPeer} from './sidecarPeer.js';

/** The generation that a stream reads, and the sidecar that runs it. */
export interface GenerationBinding {
  peer: SidecarPeer;
  incarnation: string;
  generationId: string;
  streamTag: string;
}

/**
 * How one attempt ended; `final` means that nothing more is to be sent to the
 * caller.
 */
export type AttemptEnd =
  | {readonly kind: 'final'}
  | {readonly kind: 'failed'; readonly failure: Failure};

/** State of one caller's stream across attempts and links. */
export interface StreamState {
  readonly requestId: string;
  readonly organisationId: string;
  readonly signal: AbortSignal;
  /** Whether the generation is kept when the caller disconnects. */
  readonly isResumable: boolean;
  /** Number of tokens passed on to the caller. */
  offset: number;
  binding: GenerationBinding | undefined;
}
