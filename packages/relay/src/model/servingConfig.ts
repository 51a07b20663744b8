/** What may be repeated when a request has failed. */
export const RequestClass = {
  /** May run more than once. */
  IDEMPOTENT: 'idempotent',
  /** Runs at most once. */
  NON_IDEMPOTENT: 'nonIdempotent',
  /** Runs at most once and answers with a series of events. */
  STREAMING: 'streaming',
} as const;
export type RequestClass = (typeof RequestClass)[keyof typeof RequestClass];

/** One of the services that a route is split over. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** How requests of one host and path prefix are served. */
export interface Route {
  readonly name: string;
  /** Lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly requestClass: RequestClass;
  /** Longest time that a caller is kept waiting for a final answer. */
  readonly timeoutMs: number;
  /** Time to the answer, or to the first event, that callers were promised. */
  readonly latencyGoalMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Most endpoints that one request may be sent to. */
  readonly maxAttempts: number;
  /** True when callers need no API key. */
  readonly isAnonymous: boolean;
  /** True when a client may resume at an event id of its own. */
  readonly isResumable: boolean;
  /** A caller leaves a stream that brings no event for this long. */
  readonly silenceLimitMs: number;
  /** Longest pause between events that is still on time. */
  readonly pauseGoalMs?: number;
  /** Regions in which its requests may be served; all where undefined. */
  readonly homes?: readonly string[];
}

/** The engine behind the endpoints of a model service. */
export interface EngineTraits {
  readonly slots: number;
  readonly memoryTokens: number;
  readonly bytesPerToken: number;
  readonly linkMbps: number;
  /** True when a running generation can be moved to another endpoint. */
  readonly canMove: boolean;
  /** True when a running generation can be copied as it grows. */
  readonly canBackUp: boolean;
  readonly tokensPerEvent: number;
}

/** What a cold endpoint bears. */
export interface WarmUp {
  /** How long an endpoint is cold after its start. */
  readonly durationMs: number;
  /** Requests a second, from all entries together. */
  readonly ratePerS: number;
}

/** A set of endpoints that are equal to callers. */
export interface Service {
  readonly name: string;
  readonly maxConnections: number;
  readonly engine?: EngineTraits;
  /** Undefined where endpoints bear their usual rate from the start. */
  readonly warmUp?: WarmUp;
}

/** Bounds on what a client may send and how long it may take. */
export interface ClientLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A customer with the API keys that are valid now. */
export interface Organisation {
  readonly name: string;
  readonly apiKeys: readonly string[];
  /** Regions in which its requests may be served; all where undefined. */
  readonly homes?: readonly string[];
  /** Goes before the priority of the route. */
  readonly priority?: number;
}

/** The operators' configuration in full; a higher version replaces a lower. */
export interface ServingConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: ClientLimits;
  /** Undefined when requests carry no keys at all. */
  readonly organisations?: readonly Organisation[];
}
