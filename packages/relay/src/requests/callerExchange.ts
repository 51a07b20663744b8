import type {ServerResponse} from 'node:http';
import {RequestSends, RETRY_ARRIVAL_MS} from '@lilacledge/policy';
import type {OpenRetry} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';
import type {RouteTable} from '../config/routeTable.js';
import type {Payload} from '../http/payload.js';
import {RequestClass} from '../model/index.js';
import type {CallerRequest, Organisation, Route} from '../model/index.js';
import type {HeldAnswer} from './heldAnswers.js';
import {requestFingerprint, sharedPartDigests} from './requestFingerprint.js';

/** Reasons with which the signal of an exchange is aborted. */
export const AbortCause = {
  CALLER_LEFT: 'callerLeft',
  TIMED_OUT: 'timedOut',
  ANSWERED: 'answered',
  READER_TOO_SLOW: 'readerTooSlow',
} as const;
export type AbortCause = (typeof AbortCause)[keyof typeof AbortCause];

/** A request that passed authorization, with its route, service and organisation. */
export interface AllowedRequest {
  readonly request: CallerRequest;
  readonly route: Route;
  readonly table: RouteTable;
  readonly service: string;
  readonly organisation?: Organisation;
  readonly arrivedMs: number;
}

/** Ranks of a request, 0 first; the organisation's rank is compared before the route's. */
export interface Urgency {
  readonly organisation: number;
  readonly route: number;
}

/** How long the caller of a request waits, from its arrival. */
export function callerWaitMs({request, route}: AllowedRequest): number {
  return Math.min(
    route.timeoutMs,
    request.maxWaitMs ?? Number.POSITIVE_INFINITY,
  );
}

/** One client attempt, from its complete request to its final answer. */
export class CallerExchange {
  /**
   * Aborted when the caller disconnects or does not read its answer, at the timeout, and when
   * the exchange finishes.
   */
  readonly ended = new AbortController();
  readonly deadlineMs: number;
  /** Its sends to endpoints, some of which may arrive after it has finished. */
  readonly sends = new RequestSends();
  /** When a part of the answer was last written to the caller; initially its arrival. */
  lastWrittenMs: number;
  /** Until when the last retry must reach its endpoint; undefined before the first one. */
  private retryDueMs: number | undefined;
  private readonly cancelTimer: () => void;
  private readonly answers: HeldAnswer[] = [];
  private cachedFingerprint: string | undefined;
  private cachedPartDigests: readonly string[] | undefined;
  private cachedFeatures: readonly string[] | undefined;

  constructor(
    readonly allowed: AllowedRequest,
    readonly body: Payload,
    readonly response: ServerResponse,
    readonly clock: Clock,
  ) {
    const {arrivedMs} = allowed;
    this.deadlineMs = arrivedMs + callerWaitMs(allowed);
    this.lastWrittenMs = arrivedMs;
    response.on('close', this.handleClose);
    this.cancelTimer = clock.after(this.timeLeftMs, () => {
      this.ended.abort(AbortCause.TIMED_OUT);
    });
    if (response.destroyed) this.handleClose();
  }

  /** A retry was taken from the budget and is sent at once. */
  noteRetryTaken(retry: OpenRetry): void {
    this.sends.addRetry(retry);
    this.retryDueMs = this.clock.nowMs() + RETRY_ARRIVAL_MS;
  }

  /**
   * Tells whether the send that begins now may still be made: a retry counts in the budget of
   * the time at which it was taken.
   */
  sendPermission(): () => boolean {
    const {retryDueMs} = this;
    return () => retryDueMs === undefined || this.clock.nowMs() <= retryDueMs;
  }

  get id(): string {
    return this.allowed.request.requestId;
  }

  /** Identifies the request; the same for each attempt of the caller. */
  get fingerprint(): string {
    this.cachedFingerprint ??= requestFingerprint(this.allowed, this.body);
    return this.cachedFingerprint;
  }

  /** Identifies the parts of the prompt that other requests may share. */
  get partDigests(): readonly string[] {
    this.cachedPartDigests ??= sharedPartDigests(this.allowed);
    return this.cachedPartDigests;
  }

  /** What other requests may have in common with this one, so that they may crash endpoints. */
  get features(): readonly string[] {
    this.cachedFeatures ??= [this.fingerprint, ...this.partDigests];
    return this.cachedFeatures;
  }

  get signal(): AbortSignal {
    return this.ended.signal;
  }

  /** Why the exchange was aborted; undefined while it is active. */
  get abortCause(): AbortCause | undefined {
    return this.signal.aborted ? (this.signal.reason as AbortCause) : undefined;
  }

  get timeLeftMs(): number {
    return Math.max(0, this.deadlineMs - this.clock.nowMs());
  }

  /**
   * How much longer the caller waits for the next part of its answer. Callers of a streaming
   * route give up earlier when nothing arrives.
   */
  get answerTimeLeftMs(): number {
    const {requestClass, streamIdleTimeoutMs} = this.allowed.route;
    if (requestClass !== RequestClass.STREAMING) return this.timeLeftMs;
    return Math.min(
      this.timeLeftMs,
      Math.max(0, streamIdleTimeoutMs - this.waitedMs),
    );
  }

  get ageMs(): number {
    return this.clock.nowMs() - this.allowed.arrivedMs;
  }

  /** How long the caller has been waiting for the next part of its answer. */
  get waitedMs(): number {
    return this.clock.nowMs() - this.lastWrittenMs;
  }

  get urgency(): Urgency {
    const {organisation, route} = this.allowed;
    return {
      organisation: organisation?.priority ?? 0,
      route: route.priority,
    };
  }

  /** Keeps an answer that may be forwarded until the exchange finishes. */
  keepAnswer(answer: HeldAnswer): void {
    if (this.signal.aborted) answer.closeUndelivered();
    else this.answers.push(answer);
  }

  /** Removes the timer and the listener, and aborts sends that are still open. */
  finish(): void {
    this.cancelTimer();
    this.response.off('close', this.handleClose);
    if (!this.signal.aborted) this.ended.abort(AbortCause.ANSWERED);
    for (const answer of this.answers) answer.closeUndelivered();
    this.sends.end(this.clock.nowMs());
  }

  private readonly handleClose = (): void => {
    this.ended.abort(AbortCause.CALLER_LEFT);
  };
}
