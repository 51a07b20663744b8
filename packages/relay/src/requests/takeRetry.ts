import type {SharedRetryBudget} from '@lilacledge/policy';
import type {LogFields} from '../log/boundedLog.js';
import type {CallerExchange} from './callerExchange.js';
import type {RelayContext} from './relayContext.js';

/** Whether the retry budget allows a retry now, so that it is worth waiting for an endpoint. */
export function hasRetryBudget(
  context: RelayContext,
  exchange: CallerExchange,
): boolean {
  const {hasCapacity} = budgetOf(context, exchange);
  if (!hasCapacity) reportSpent(context, exchange);
  return hasCapacity;
}

/**
 * Takes one retry from the budget of the request's service; false when the budget is used up.
 * Call it right before the send.
 */
export function takeRetry(
  context: RelayContext,
  exchange: CallerExchange,
): boolean {
  const isTaken = budgetOf(context, exchange).tryTake();
  return reportResult(context, exchange, isTaken);
}

/** Like `takeRetry`, for the send that continues a generation at another endpoint. */
export function takeContinuation(
  context: RelayContext,
  exchange: CallerExchange,
): boolean {
  const isTaken = budgetOf(context, exchange).tryContinue();
  return reportResult(context, exchange, isTaken);
}

function budgetOf(
  {retryBudgets}: RelayContext,
  {allowed}: CallerExchange,
): SharedRetryBudget {
  return retryBudgets.of(allowed.service);
}

function reportResult(
  context: RelayContext,
  exchange: CallerExchange,
  isTaken: boolean,
): boolean {
  if (isTaken) context.log.info('retry.taken', budgetFields(context, exchange));
  else reportSpent(context, exchange);
  return isTaken;
}

function reportSpent(context: RelayContext, exchange: CallerExchange): void {
  const {service} = exchange.allowed;
  context.metrics.budgetRefusals.inc({service});
  context.log.warn('retry.budgetSpent', budgetFields(context, exchange));
}

function budgetFields(
  context: RelayContext,
  exchange: CallerExchange,
): LogFields {
  const budget = budgetOf(context, exchange);
  return {
    request: exchange.id,
    service: exchange.allowed.service,
    used: budget.used,
    allowed: Number(budget.allowed.toFixed(1)),
    isFormerUseKnown: context.retryBudgets.isPriorUseKnown,
    entries: context.retryBudgets.entryCount,
  };
}
