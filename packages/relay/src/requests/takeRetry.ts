import type {SharedRetryBudget} from '@lilacledge/policy';
import type {LogFields} from '../log/boundedLog.js';
import type {CallerExchange} from './callerExchange.js';
import type {RelayContext} from './relayContext.js';

/** Why a request is sent again. */
const RetryKind = {
  RETRY: 'retry',
  /** A generation continues at another endpoint. */
  CONTINUATION: 'continuation',
} as const;
type RetryKind = (typeof RetryKind)[keyof typeof RetryKind];

/** Whose share of the budget a send uses. */
const RetrySource = {OWN: 'own', OTHERS: 'others'} as const;

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
  return reportResult(context, exchange, RetryKind.RETRY, isTaken);
}

/** Like `takeRetry`, for the send that continues a generation at another endpoint. */
export function takeContinuation(
  context: RelayContext,
  exchange: CallerExchange,
): boolean {
  const isTaken = budgetOf(context, exchange).tryContinue();
  return reportResult(context, exchange, RetryKind.CONTINUATION, isTaken);
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
  kind: RetryKind,
  isTaken: boolean,
): boolean {
  if (!isTaken) {
    reportSpent(context, exchange);
    return false;
  }
  const {service} = exchange.allowed;
  const {used, allowed} = budgetOf(context, exchange);
  const source = used <= allowed ? RetrySource.OWN : RetrySource.OTHERS;
  context.metrics.retries.inc({service, kind, source});
  const fields = budgetFields(context, exchange);
  context.log.info('retry.taken', {...fields, kind, source});
  return true;
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
    requests: budget.requests,
    allowed: Number(budget.allowed.toFixed(1)),
    isFormerUseKnown: context.retryBudgets.isPriorUseKnown,
    entries: context.retryBudgets.entryCount,
  };
}
