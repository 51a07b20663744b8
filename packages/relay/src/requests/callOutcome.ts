import type {ServingEnd} from '@lilacledge/policy';
import type {AnswerHead} from '../ports.js';
import type {HeldAnswer} from './heldAnswers.js';

/** Statuses from this one on report a failure of the endpoint. */
export const SERVER_ERROR_MIN = 500;

/** Result of one send. */
export type CallOutcome =
  | {
      readonly kind: 'answer';
      readonly head: AnswerHead;
      readonly body: HeldAnswer;
    }
  | {
      readonly kind: 'notRun';
      readonly detail: string;
      /** When the caller should retry, if known. */
      readonly retryAfterMs?: number;
    }
  | {readonly kind: 'mayHaveRun'; readonly detail: string};

/** True for an answer that reports no failure of the endpoint. */
export function isSuccess(outcome: CallOutcome): boolean {
  return outcome.kind === 'answer' && outcome.head.status < SERVER_ERROR_MIN;
}

/** How the caller counts the outcome. */
export function servingEndOf(outcome: CallOutcome): ServingEnd {
  if (outcome.kind === 'notRun') return 'refused';
  return isSuccess(outcome) ? 'served' : 'failed';
}

/**
 * Chooses the outcome to report to the caller: an answer over `mayHaveRun`, and that over
 * `notRun`.
 */
export function preferredOutcome(
  known: CallOutcome | undefined,
  next: CallOutcome,
): CallOutcome {
  if (known === undefined || known.kind === 'notRun') return next;
  if (known.kind === 'mayHaveRun' && next.kind === 'answer') return next;
  return known;
}

/**
 * Resolves with the first successful outcome, or else with the preferred one of all. Rejects if
 * a send does.
 */
export function firstSuccess(
  sends: ReadonlyArray<Promise<CallOutcome>>,
): Promise<CallOutcome> {
  return new Promise((resolve, reject) => {
    let pendingCount = sends.length;
    let best: CallOutcome | undefined;
    for (const send of sends) {
      send.then((outcome) => {
        pendingCount--;
        best = preferredOutcome(best, outcome);
        if (isSuccess(outcome)) resolve(outcome);
        else if (pendingCount === 0) resolve(best);
      }, reject);
    }
  });
}
