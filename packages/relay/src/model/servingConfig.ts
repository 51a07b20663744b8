/** Whether a failed request may be retried, and how it is answered. */
export const RequestClass = {
  /** May run more than once. */
  IDEMPOTENT: 'idempotent',
  /** Runs at most once. */
  NON_IDEMPOTENT: 'nonIdempotent',
  /** Runs at most once and answers with a stream of events. */
  STREAMING: 'streaming',
} as const;
export type RequestClass = (typeof RequestClass)[keyof typeof RequestClass];

/** A service that receives a weighted share of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** Serving rules for requests to one host and path prefix. */
export interface Route {
  readonly name: string;
  /** Lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly requestClass: RequestClass;
  /** Longest time until the caller receives a final answer. */
  readonly timeoutMs: number;
  /** Target time to the answer, or to the first event of a stream. */
  readonly latencyGoalMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Maximum number of endpoints that one request may be sent to. */
  readonly maxAttempts: number;
  /** True if callers need no API key. */
  readonly isAnonymous: boolean;
  /** True if a client may resume a stream after an event id that it sends. */
  readonly isResumable: boolean;
  /** Callers disconnect from a stream after this long without an event. */
  readonly streamIdleTimeoutMs: number;
  /** Longest pause between events that still meets the latency goal. */
  readonly pauseGoalMs?: number;
  /** Regions in which its requests may be served; undefined for all regions. */
  readonly allowedRegions?: readonly string[];
}

/** Properties of the engines behind a model service. */
export interface EngineTraits {
  readonly slots: number;
  readonly memoryTokens: number;
  readonly bytesPerToken: number;
  readonly linkMbps: number;
  /** True if a running generation can be moved to another endpoint. */
  readonly canMove: boolean;
  /** True if a running generation can be backed up continuously to another endpoint. */
  readonly canBackUp: boolean;
  readonly tokensPerEvent: number;
}

/** Limits the requests to endpoints that have recently started. */
export interface WarmUp {
  /** How long an endpoint stays cold after its start. */
  readonly durationMs: number;
  /** Requests per second to a cold endpoint, summed over all entries. */
  readonly ratePerS: number;
}

/** A set of interchangeable endpoints. */
export interface Service {
  readonly name: string;
  readonly maxConnections: number;
  /** Path at which its endpoints answer health checks. */
  readonly healthPath?: string;
  readonly engine?: EngineTraits;
  /** Undefined if endpoints take their full rate immediately after their start. */
  readonly warmUp?: WarmUp;
}

/** Limits on the size of a client's request and on the time to send it. */
export interface ClientLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A customer and its currently valid API keys. */
export interface Organisation {
  readonly name: string;
  readonly apiKeys: readonly string[];
  /** Regions in which its requests may be served; undefined for all regions. */
  readonly allowedRegions?: readonly string[];
  /** Ranks before the priority of the route; 0 is the most urgent. */
  readonly priority?: number;
}

/** The operators' complete configuration; a higher version replaces a lower one. */
export interface ServingConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: ClientLimits;
  /** Undefined if the deployment uses no API keys. */
  readonly organisations?: readonly Organisation[];
}
