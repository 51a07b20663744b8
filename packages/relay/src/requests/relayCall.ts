import {assertNever} from '@lilacledge/shared';
import {answerOwn, answerWhole, Status} from './answerCaller.js';
import {awaitEndpoint} from './awaitView.js';
import {AbortCause} from './callerExchange.js';
import type {CallerExchange} from './callerExchange.js';
import {isGood} from './callOutcome.js';
import type {CallOutcome} from './callOutcome.js';
import {CallSends} from './callSends.js';
import {quarantineRefusal} from './quarantine.js';
import type {RelayContext} from './relayContext.js';

/** Relays a call of a plain service and answers it whole. */
export async function relayCall(
  context: RelayContext,
  exchange: CallerExchange,
): Promise<void> {
  if (wouldBeCut(context, exchange)) {
    const detail = 'the entry is leaving';
    answer(context, exchange, {kind: 'notRun', detail}, []);
    return;
  }
  const missing = await awaitEndpoint(context, exchange);
  if (missing !== undefined) {
    const detail = 'no endpoint is available';
    const {retryAfterMs} = missing;
    answer(context, exchange, {kind: 'notRun', detail, retryAfterMs}, []);
    return;
  }
  // After the wait, in which the store tells of such requests besides.
  const refused = quarantineRefusal(context, exchange);
  if (refused !== undefined) {
    answer(context, exchange, refused, []);
    return;
  }
  const sends = new CallSends(context, exchange);
  const outcome = await sends.run();
  answer(context, exchange, outcome, [...sends.tried]);
}

/** True when this process may end before the call does. */
function wouldBeCut(context: RelayContext, exchange: CallerExchange): boolean {
  const {longestMs} = context.callTimesOf(exchange.allowed.service);
  const neededMs = Math.min(exchange.timeLeftMs, longestMs);
  return context.clock.nowMs() + neededMs > context.closing.endsAtMs;
}

function answer(
  context: RelayContext,
  exchange: CallerExchange,
  outcome: CallOutcome,
  endpoints: readonly string[],
): void {
  const {response, abortCause} = exchange;
  const {closing} = context;
  const {route, service} = exchange.allowed;
  const isLeft = abortCause === AbortCause.CALLER_LEFT;
  const verdict = isLeft ? 'callerLeft' : outcome.kind;
  context.metrics.noteOutcome(route, verdict, exchange.ageMs);
  if (isGood(outcome)) {
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
  if (isLeft) return;
  switch (outcome.kind) {
    case 'answer':
      answerWhole(response, closing, outcome.head, outcome.body);
      return;
    case 'notRun': {
      // Endpoints that were full have a free place after a usual call.
      const retryAfterMs =
        outcome.retryAfterMs ?? context.callTimesOf(service).usualMs;
      const status = Status.UNAVAILABLE;
      answerOwn(response, closing, status, outcome.detail, retryAfterMs);
      return;
    }
    case 'mayHaveRun': {
      const isTimeout = abortCause === AbortCause.TIMED_OUT;
      const status = isTimeout ? Status.GATEWAY_TIMEOUT : Status.BAD_GATEWAY;
      answerOwn(response, closing, status, outcome.detail);
      return;
    }
    default:
      assertNever(outcome);
  }
}
