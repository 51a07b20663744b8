/** Alternating header names and values, as in Node.js's `rawHeaders`. */
export type RawHeaders = readonly string[];

/** Size of the prompt and of the output, as announced by the caller. */
export interface GenerationSize {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate: accurate in the median, but often far off for one request. */
  readonly expectedOutputTokens?: number;
  /** Parts of the prompt that other requests may share, in order. */
  readonly prefixParts: readonly PrefixPart[];
}

/** A shareable part of a prompt. */
export interface PrefixPart {
  readonly id: string;
  readonly tokens: number;
}

/** The decoded head of one client attempt. */
export interface CallerRequest {
  /** Id of this client attempt; empty if the client sent none. */
  readonly requestId: string;
  readonly method: string;
  /** The request target as received, including the query. */
  readonly target: string;
  /** The target without the query. */
  readonly path: string;
  /** Lower case, without a port. */
  readonly host: string;
  readonly rawHeaders: RawHeaders;
  readonly apiKey?: string;
  /** How long the client waits for an answer; undefined if it did not announce it. */
  readonly maxWaitMs?: number;
  readonly size?: GenerationSize;
  /** Id of the last event that the client says it has, as it was received. */
  readonly lastEventId?: string;
}
