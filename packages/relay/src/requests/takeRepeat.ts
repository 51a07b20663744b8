import type {CallerExchange} from './callerExchange.js';
import type {RelayContext} from './relayContext.js';

/**
 * Takes a send beyond the first of a request from the budget of its service; false when
 * nothing is left.
 */
export function takeRepeat(
  context: RelayContext,
  exchange: CallerExchange,
): boolean {
  const {service} = exchange.allowed;
  const budget = context.budgetOf(service);
  const isTaken = budget.tryTake();
  const fields = {
    request: exchange.id,
    service,
    used: budget.used,
    allowed: Math.floor(budget.allowed),
    entries: budget.entryCount,
  };
  if (isTaken) {
    context.log.info('retry.taken', fields);
    return true;
  }
  context.metrics.budgetRefusals.inc({service});
  context.log.warn('retry.budgetSpent', fields);
  return false;
}
