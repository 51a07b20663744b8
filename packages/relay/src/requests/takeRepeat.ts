import type {SharedRetryBudget} from '@lilacledge/policy';
import type {LogFields} from '../log/boundedLog.js';
import type {CallerExchange} from './callerExchange.js';
import type {RelayContext} from './relayContext.js';

/** Whether a repeat could be taken now, so that a wait for its place is of use. */
export function hasRepeatLeft(
  context: RelayContext,
  exchange: CallerExchange,
): boolean {
  const {hasRoom} = budgetOf(context, exchange);
  if (!hasRoom) noteSpent(context, exchange);
  return hasRoom;
}

/**
 * Takes a send beyond the first of a request from the budget of its service, right before the
 * send; false when nothing is left.
 */
export function takeRepeat(
  context: RelayContext,
  exchange: CallerExchange,
): boolean {
  const isTaken = budgetOf(context, exchange).tryTake();
  return noteResult(context, exchange, isTaken);
}

/** The same for the send by which a generation goes on at another endpoint. */
export function takeContinuation(
  context: RelayContext,
  exchange: CallerExchange,
): boolean {
  const isTaken = budgetOf(context, exchange).tryContinue();
  return noteResult(context, exchange, isTaken);
}

function budgetOf(
  {retryBudgets}: RelayContext,
  {allowed}: CallerExchange,
): SharedRetryBudget {
  return retryBudgets.of(allowed.service);
}

function noteResult(
  context: RelayContext,
  exchange: CallerExchange,
  isTaken: boolean,
): boolean {
  if (isTaken) context.log.info('retry.taken', stateOf(context, exchange));
  else noteSpent(context, exchange);
  return isTaken;
}

function noteSpent(context: RelayContext, exchange: CallerExchange): void {
  const {service} = exchange.allowed;
  context.metrics.budgetRefusals.inc({service});
  context.log.warn('retry.budgetSpent', stateOf(context, exchange));
}

function stateOf(context: RelayContext, exchange: CallerExchange): LogFields {
  const budget = budgetOf(context, exchange);
  return {
    request: exchange.id,
    service: exchange.allowed.service,
    used: budget.used,
    allowed: Number(budget.allowed.toFixed(1)),
    isFormerUseKnown: context.retryBudgets.isFormerUseKnown,
    entries: context.retryBudgets.entryCount,
  };
}
