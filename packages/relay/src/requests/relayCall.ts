import {assertNever} from '@lilacledge/shared';
import {
  answerWithText,
  forwardAnswer,
  OTHER_ENTRY_RETRY_MS,
  Status,
} from './answerCaller.js';
import {awaitEndpoint} from './awaitAvailability.js';
import {AbortCause} from './callerExchange.js';
import type {CallerExchange} from './callerExchange.js';
import {isSuccess, servingEndOf} from './callOutcome.js';
import type {CallOutcome} from './callOutcome.js';
import {CallSends, LEAVING, mayFinishCall} from './callSends.js';
import {quarantineRefusal} from './quarantine.js';
import type {RelayContext} from './relayContext.js';

/** Relays a call of a non-streaming service and sends its complete answer. */
export async function relayCall(
  context: RelayContext,
  exchange: CallerExchange,
): Promise<void> {
  context.suspicions.noteRequest(exchange);
  if (!mayFinishCall(context, exchange)) {
    finishCall(context, exchange, LEAVING, []);
    return;
  }
  const refused = quarantineRefusal(context, exchange);
  if (refused !== undefined) {
    finishCall(context, exchange, refused, []);
    return;
  }
  const missing = await awaitEndpoint(context, exchange);
  if (missing !== undefined) {
    const detail = 'no endpoint is available';
    const {retryAfterMs} = missing;
    finishCall(context, exchange, {kind: 'notRun', detail, retryAfterMs}, []);
    return;
  }
  const sends = new CallSends(context, exchange);
  const outcome = await sends.run();
  finishCall(context, exchange, outcome, [...sends.tried]);
}

function finishCall(
  context: RelayContext,
  exchange: CallerExchange,
  outcome: CallOutcome,
  endpoints: readonly string[],
): void {
  const {response, abortCause} = exchange;
  const {closing} = context;
  const {route, service} = exchange.allowed;
  const hasCallerLeft = abortCause === AbortCause.CALLER_LEFT;
  const verdict = hasCallerLeft ? 'callerLeft' : outcome.kind;
  context.metrics.noteOutcome(route, verdict, exchange.ageMs);
  const servingEnd = hasCallerLeft ? 'left' : servingEndOf(outcome);
  const times = {firstMs: exchange.ageMs, longestPauseMs: 0};
  context.metrics.served.note(route, servingEnd, times);
  if (isSuccess(outcome)) {
    const ageMs = Math.round(exchange.ageMs);
    const sends = endpoints.length;
    context.log.info('call.served', {request: exchange.id, sends, ageMs});
  } else {
    context.log.warn('call.notServed', {
      request: exchange.id,
      route: route.name,
      service,
      verdict,
      status: outcome.kind === 'answer' ? outcome.head.status : undefined,
      detail: outcome.kind === 'answer' ? undefined : outcome.detail,
      cause: abortCause,
      endpoints: endpoints.join(','),
      ageMs: Math.round(exchange.ageMs),
    });
  }
  if (hasCallerLeft) return;
  switch (outcome.kind) {
    case 'answer':
      forwardAnswer(response, closing, outcome.head, outcome.body);
      return;
    case 'notRun': {
      // Full endpoints should have a free slot again after the usual duration of a call.
      const retryAfterMs = closing.isClosing
        ? OTHER_ENTRY_RETRY_MS
        : (outcome.retryAfterMs ?? context.callTimesOf(service).p97Ms);
      const status = Status.UNAVAILABLE;
      answerWithText(response, closing, status, outcome.detail, retryAfterMs);
      return;
    }
    case 'mayHaveRun': {
      const isTimeout = abortCause === AbortCause.TIMED_OUT;
      const status = isTimeout ? Status.GATEWAY_TIMEOUT : Status.BAD_GATEWAY;
      answerWithText(response, closing, status, outcome.detail);
      return;
    }
    default:
      assertNever(outcome);
  }
}
