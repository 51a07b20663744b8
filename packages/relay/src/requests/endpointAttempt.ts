import type {IncomingMessage} from 'node:http';
import {NO_RESPONSE_LIMIT} from '@lilacledge/policy';
import type {OpenSend} from '@lilacledge/policy';
import type {Endpoint} from '../endpoints/endpoint.js';
import type {SendPermit} from '../endpoints/sendLimits.js';
import {payloadBytes} from '../http/payload.js';
import {sendToEndpoint} from '../http/sendToEndpoint.js';
import type {SendOutcome} from '../http/sendToEndpoint.js';
import {RequestClass} from '../model/index.js';
import type {AnswerHead, SendParameters} from '../ports.js';
import type {CallerExchange} from './callerExchange.js';
import {enginePriorityOf} from './engineClass.js';
import {QUARANTINE_DETAIL} from './quarantine.js';
import type {RelayContext} from './relayContext.js';

/** Result of one send, up to the head of the answer. */
export type AttemptOutcome =
  /** The endpoint did not run the request and never will. */
  | {readonly kind: 'notRun'; readonly detail: string}
  | {
      readonly kind: 'mayHaveRun';
      readonly detail: string;
      /** True when the endpoint's host reset the connection. */
      readonly isBroken: boolean;
    }
  | {
      readonly kind: 'answered';
      readonly head: AnswerHead;
      readonly response: IncomingMessage;
      /** True if the answer has neither a length nor chunks, so that its connection ends it. */
      readonly isDelimitedByClose: boolean;
      readonly cancel: () => void;
      /** Whether the answer is incomplete although it ended in order. */
      readonly isBrokenOff: () => Promise<boolean>;
    };

export type AnsweredAttempt = Extract<AttemptOutcome, {kind: 'answered'}>;

/** Statuses that tell callers that the request was not processed. */
const NOT_PROCESSED_STATUSES: ReadonlySet<number> = new Set([
  408, 421, 429, 503,
]);

/** Parameters that differ between the sends of one request. */
export type SendOptions = Pick<SendParameters, 'continueFrom' | 'lastEventId'>;

/** Sends the exchange's request to one endpoint and reads the head of its answer. */
export async function attemptAt(
  context: RelayContext,
  exchange: CallerExchange,
  permit: SendPermit,
  signal: AbortSignal,
  options: SendOptions = {},
): Promise<AttemptOutcome> {
  const {endpoint} = permit;
  const send = exchange.sends.begin(context.clock.nowMs());
  const mayStillSend = exchange.sendPermission();
  const obstacle = await findObstacle(context, exchange, endpoint);
  if (obstacle !== undefined || !mayStillSend()) {
    send.settle(context.clock.nowMs());
    return {kind: 'notRun', detail: obstacle ?? 'the retry was delayed'};
  }
  const {request} = exchange.allowed;
  const headers = encodeHeaders(context, exchange, endpoint, options);
  const sentMs = context.clock.nowMs();
  endpoint.announced.unanswered.add(send, sentMs);
  permit.follow(send);
  const sent = await sendToEndpoint({
    address: endpoint.record.address,
    method: request.method,
    target: request.target,
    headers,
    body: exchange.body,
    signal,
    mayStillSend,
  });
  noteFate(context, exchange, endpoint, send, sent);
  switch (sent.kind) {
    case 'unsendable':
      // Says nothing about the endpoint.
      return {kind: 'notRun', detail: sent.detail};
    case 'notSent':
    case 'noAnswer': {
      if (!signal.aborted) {
        const limit = noResponseLimitFor(exchange);
        endpoint.health.noteNoResponse(
          context.clock.nowMs(),
          sent.isReset,
          limit,
        );
      }
      const {detail} = sent;
      if (sent.kind === 'notSent') return {kind: 'notRun', detail};
      const isBroken = sent.isReset && !signal.aborted;
      return {kind: 'mayHaveRun', detail, isBroken};
    }
    case 'answered':
      return classifyAnswer(context, exchange, endpoint, sent, sentMs);
  }
}

/**
 * Why a send must not be made after all; undefined if it may. The last check before an endpoint:
 * all sends of a request pass here.
 */
async function findObstacle(
  {viewGate, clock, settings, suspicions}: RelayContext,
  exchange: CallerExchange,
  endpoint: Endpoint,
): Promise<string | undefined> {
  if (!viewGate.isOpen) {
    await viewGate.whenOpen();
    if (!endpoint.mayGetWork(clock.nowMs(), settings.drainMs)) {
      return 'the endpoint has left meanwhile';
    }
    if (endpoint.announced.backoff.remainingMs(clock.nowMs()) > 0) {
      return 'the endpoint rests since';
    }
  }
  const isQuarantined = suspicions.quarantineMs(exchange) !== undefined;
  return isQuarantined ? QUARANTINE_DETAIL : undefined;
}

function encodeHeaders(
  context: RelayContext,
  exchange: CallerExchange,
  endpoint: Endpoint,
  options: SendOptions,
): string[] {
  const {request, route, table, organisation} = exchange.allowed;
  return context.codec.encodeSend(request, {
    endpointId: endpoint.id,
    timeLeftMs: exchange.timeLeftMs,
    organisation: organisation?.name,
    stripsApiKey: table.requiresApiKeys,
    bodyBytes: payloadBytes(exchange.body),
    lastEventId: route.isResumable ? request.lastEventId : undefined,
    enginePriority: enginePriorityOf(context, exchange),
    ...options,
  });
}

/** Records whether a send may still reach its endpoint. */
function noteFate(
  context: RelayContext,
  exchange: CallerExchange,
  endpoint: Endpoint,
  send: OpenSend,
  sent: SendOutcome,
): void {
  const nowMs = context.clock.nowMs();
  const {unanswered} = endpoint.announced;
  if (sent.kind === 'answered') {
    unanswered.noteAnswered(send, nowMs);
    return;
  }
  if (sent.kind !== 'noAnswer' || !sent.mayArrive) {
    unanswered.noteEnded(send, nowMs);
    return;
  }
  unanswered.noteAbandoned(send, nowMs);
  context.silenceProbes.watch(endpoint);
  context.log.info('send.abandoned', {
    request: exchange.id,
    endpoint: endpoint.id,
    service: endpoint.record.service,
    cause: exchange.abortCause,
    waitedMs: Math.round(nowMs - send.sentMs),
    unsentBytes: sent.unsentBytes,
    unanswered: unanswered.count,
  });
}

/**
 * Number of unanswered sends after which an endpoint counts as unresponsive. It is 1 for
 * streaming routes: a lost generation costs as much as a hundred calls, and there are many
 * other engines to send to.
 */
function noResponseLimitFor(exchange: CallerExchange): number {
  const {requestClass} = exchange.allowed.route;
  return requestClass === RequestClass.STREAMING ? 1 : NO_RESPONSE_LIMIT;
}

function classifyAnswer(
  context: RelayContext,
  exchange: CallerExchange,
  endpoint: Endpoint,
  sent: Extract<SendOutcome, {kind: 'answered'}>,
  sentMs: number,
): AttemptOutcome {
  const {response, isDelimitedByClose, cancel, isBrokenOff} = sent;
  const status = response.statusCode ?? 0;
  const head = context.codec.readAnswer(status, response.rawHeaders);
  const nowMs = context.clock.nowMs();
  if (head.load !== undefined) endpoint.noteLoad(head.load, nowMs);
  if (head.isMisdirected) {
    context.endpoints.noteReplaced(endpoint);
    cancel();
    return {kind: 'notRun', detail: 'another incarnation has the address'};
  }
  const isForOtherRequest =
    head.requestId === undefined
      ? !head.isNotRun
      : head.requestId !== exchange.id;
  if (isForOtherRequest) {
    endpoint.health.noteFailure(nowMs);
    cancel();
    return unusableAnswer('the answer names another request');
  }
  context.statements.noteAnswer(endpoint, head, sentMs);
  if (head.isNotRun) {
    response.resume();
    return {kind: 'notRun', detail: `status ${status}`};
  }
  if (NOT_PROCESSED_STATUSES.has(status)) {
    endpoint.health.noteFailure(nowMs);
    cancel();
    return unusableAnswer(`status ${status} without a promise`);
  }
  return {
    kind: 'answered',
    head,
    response,
    isDelimitedByClose,
    cancel,
    isBrokenOff,
  };
}

/** The outcome for an answer that cannot be used; the request may have run. */
function unusableAnswer(detail: string): AttemptOutcome {
  return {kind: 'mayHaveRun', detail, isBroken: false};
}
