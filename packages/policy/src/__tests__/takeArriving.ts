import type {Clock} from '@lilacledge/shared';
import type {
  RetryLoan,
  RetrySource,
  SharedRetryBudget,
} from '../sharedRetryBudget.js';

/** Takes a retry that arrives at once; undefined if the budget is exhausted. */
export function takeArriving(
  budget: SharedRetryBudget,
  clock: Pick<Clock, 'nowMs'>,
  loan?: RetryLoan,
): RetrySource | undefined {
  const retry = budget.tryTake(loan);
  retry?.settle(clock.nowMs());
  return retry?.source;
}
