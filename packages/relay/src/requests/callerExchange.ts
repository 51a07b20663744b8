import type {ServerResponse} from 'node:http';
import type {Clock} from '@lilacledge/shared';
import type {RouteTable} from '../config/routeTable.js';
import {RequestClass} from '../model/index.js';
import type {CallerRequest, Organisation, Route} from '../model/index.js';
import {requestFingerprint} from './requestFingerprint.js';

/** Why an exchange ended before its answer. */
export const AbortCause = {
  CALLER_LEFT: 'callerLeft',
  TIMED_OUT: 'timedOut',
  ANSWERED: 'answered',
} as const;
export type AbortCause = (typeof AbortCause)[keyof typeof AbortCause];

/** Who asks for what, after the request was found to be allowed. */
export interface AllowedRequest {
  readonly request: CallerRequest;
  readonly route: Route;
  readonly table: RouteTable;
  readonly service: string;
  readonly organisation?: Organisation;
  readonly arrivedMs: number;
}

/** Ranks of a request, 0 first; the organisation's goes before the route's. */
export interface Urgency {
  readonly organisation: number;
  readonly route: number;
}

/** One client attempt from its whole request to its final answer. */
export class CallerExchange {
  /** Aborted when the caller leaves, at the timeout, and at the end. */
  readonly ended = new AbortController();
  readonly deadlineMs: number;
  private readonly cancelTimer: () => void;
  private knownFingerprint: string | undefined;

  constructor(
    readonly allowed: AllowedRequest,
    readonly body: Buffer,
    readonly response: ServerResponse,
    readonly clock: Clock,
  ) {
    const {request, route, arrivedMs} = allowed;
    const patienceMs = request.patienceMs ?? Number.POSITIVE_INFINITY;
    this.deadlineMs = arrivedMs + Math.min(route.timeoutMs, patienceMs);
    response.on('close', this.handleClose);
    this.cancelTimer = clock.after(this.timeLeftMs, () => {
      this.ended.abort(AbortCause.TIMED_OUT);
    });
    if (response.destroyed) this.handleClose();
  }

  get id(): string {
    return this.allowed.request.requestId;
  }

  /** Names what is asked, whichever attempt it is. */
  get fingerprint(): string {
    this.knownFingerprint ??= requestFingerprint(this.allowed, this.body);
    return this.knownFingerprint;
  }

  get signal(): AbortSignal {
    return this.ended.signal;
  }

  /** Why the exchange was ended; undefined while it goes on. */
  get abortCause(): AbortCause | undefined {
    return this.signal.aborted ? (this.signal.reason as AbortCause) : undefined;
  }

  get timeLeftMs(): number {
    return Math.max(0, this.deadlineMs - this.clock.nowMs());
  }

  /** How much longer the caller stays without any answer. */
  get patienceMs(): number {
    const {requestClass, silenceLimitMs} = this.allowed.route;
    if (requestClass !== RequestClass.STREAMING) return this.timeLeftMs;
    return Math.min(this.timeLeftMs, Math.max(0, silenceLimitMs - this.ageMs));
  }

  get ageMs(): number {
    return this.clock.nowMs() - this.allowed.arrivedMs;
  }

  /** How urgent the request is. */
  get urgency(): Urgency {
    const {organisation, route} = this.allowed;
    return {
      organisation: organisation?.priority ?? 0,
      route: route.priority,
    };
  }

  /** Releases what the exchange holds; sends that still run are cancelled. */
  finish(): void {
    this.cancelTimer();
    this.response.off('close', this.handleClose);
    if (!this.signal.aborted) this.ended.abort(AbortCause.ANSWERED);
  }

  private readonly handleClose = (): void => {
    this.ended.abort(AbortCause.CALLER_LEFT);
  };
}
