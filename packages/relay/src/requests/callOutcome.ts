import type {AnswerHead} from '../ports.js';

/** Statuses from here on are the endpoint's own failure. */
export const SERVER_ERROR = 500;

/** How one send ended. */
export type CallOutcome =
  | {readonly kind: 'answer'; readonly head: AnswerHead; readonly body: Buffer}
  | {
      readonly kind: 'notRun';
      readonly detail: string;
      /** When the caller should come back, if that is known. */
      readonly retryAfterMs?: number;
    }
  | {readonly kind: 'mayHaveRun'; readonly detail: string};

/** True for an answer that is no failure of the endpoint. */
export function isGood(outcome: CallOutcome): boolean {
  return outcome.kind === 'answer' && outcome.head.status < SERVER_ERROR;
}

/** An endpoint's own answer before none, and what may have run before not. */
export function preferred(
  known: CallOutcome | undefined,
  next: CallOutcome,
): CallOutcome {
  if (known === undefined || known.kind === 'notRun') return next;
  if (known.kind === 'mayHaveRun' && next.kind === 'answer') return next;
  return known;
}

/** The first good outcome, else what is preferred of all. */
export function firstGood(
  sends: ReadonlyArray<Promise<CallOutcome>>,
): Promise<CallOutcome> {
  return new Promise((resolve) => {
    let open = sends.length;
    let best: CallOutcome | undefined;
    for (const send of sends) {
      void send.then((outcome) => {
        open--;
        best = preferred(best, outcome);
        if (isGood(outcome)) resolve(outcome);
        else if (open === 0) resolve(best);
      });
    }
  });
}
