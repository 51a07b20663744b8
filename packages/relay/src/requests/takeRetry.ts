import {RetryKind} from '@lilacledge/policy';
import type {RetryLoan, SharedRetryBudget} from '@lilacledge/policy';
import type {LogFields} from '../log/boundedLog.js';
import type {CallerExchange} from './callerExchange.js';
import type {RelayContext} from './relayContext.js';

/**
 * Whether a retry can be taken now or perhaps be borrowed, so that it is worth waiting for an
 * endpoint.
 */
export function hasRetryBudget(
  context: RelayContext,
  exchange: CallerExchange,
): boolean {
  const budget = budgetOf(context, exchange);
  const hasBudget = budget.hasCapacity || budget.mayBorrow(RetryKind.RETRY);
  if (!hasBudget) reportSpent(context, exchange, RetryKind.RETRY);
  return hasBudget;
}

/** Asks other entries for a retry if this one has none left and may borrow. */
export async function borrowRetry(
  context: RelayContext,
  exchange: CallerExchange,
  kind: RetryKind,
): Promise<RetryLoan | undefined> {
  if (!budgetOf(context, exchange).mayBorrow(kind)) return undefined;
  return context.borrowRetry(exchange.allowed.service, kind);
}

/**
 * Takes one retry from the budget of the request's service, or uses the loan; false when the
 * budget is used up. Call it right before the send.
 */
export function takeRetry(
  context: RelayContext,
  exchange: CallerExchange,
  kind: RetryKind,
  loan?: RetryLoan,
): boolean {
  const {service} = exchange.allowed;
  const retry = budgetOf(context, exchange).tryTake(loan);
  if (retry === undefined) {
    reportSpent(context, exchange, kind);
    return false;
  }
  const {source} = retry;
  exchange.noteRetryTaken(retry);
  context.metrics.retries.inc({service, kind, source});
  const {sends, clock} = exchange;
  context.log.info('retry.taken', {
    ...budgetFields(context, exchange),
    kind,
    source,
    openSends: sends.openCount,
    oldestOpenMs: Math.round(sends.oldestOpenMs(clock.nowMs())),
  });
  return true;
}

function budgetOf(
  {retryBudgets}: RelayContext,
  {allowed}: CallerExchange,
): SharedRetryBudget {
  return retryBudgets.of(allowed.service);
}

function reportSpent(
  context: RelayContext,
  exchange: CallerExchange,
  kind: RetryKind,
): void {
  const {service} = exchange.allowed;
  context.metrics.budgetRefusals.inc({service});
  const fields = budgetFields(context, exchange);
  context.log.warn('retry.budgetSpent', {...fields, kind});
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
    open: budget.open,
    requests: budget.requests,
    allowed: Number(budget.allowed.toFixed(1)),
    hasSlack: context.retryBudgets.hasSlack,
    entries: context.retryBudgets.entryCount,
  };
}
