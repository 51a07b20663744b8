import type {ServingEnd} from '@lilacledge/policy';
import {assertNever} from '@lilacledge/shared';
import type {AnswerHead} from '../ports.js';
import {
  answerWithText,
  forwardAnswer,
  OTHER_ENTRY_RETRY_MS,
  Status,
} from './answerCaller.js';
import {AbortCause} from './callerExchange.js';
import type {CallerExchange} from './callerExchange.js';
import {SERVER_ERROR_MIN} from './callOutcome.js';
import type {HeldAnswer} from './heldAnswers.js';
import type {RelayContext} from './relayContext.js';

/** How a segment, the part of a generation that ran at one endpoint, ended. */
export type SegmentEnd =
  | {readonly kind: 'complete'}
  | {
      readonly kind: 'notRun';
      readonly detail: string;
      /** When the caller should retry, if known. */
      readonly retryAfterMs?: number;
    }
  /** The stream was interrupted or never began; the run may continue from its memory. */
  | {readonly kind: 'cut'; readonly detail: string}
  /** The endpoint sent an answer that is not a stream. */
  | {
      readonly kind: 'answer';
      readonly head: AnswerHead;
      readonly body: HeldAnswer;
    };

/**
 * Retry delay after endpoints that seemed to have room rejected a generation: other entries
 * had filled them, which their next load reports show.
 */
const REJECTED_RETRY_MS = 500;

/** How the caller counts the end of its generation. */
export function servingEndOf(end: SegmentEnd): ServingEnd {
  switch (end.kind) {
    case 'complete':
      return 'served';
    case 'notRun':
      return 'refused';
    case 'cut':
      return 'failed';
    case 'answer':
      return end.head.status < SERVER_ERROR_MIN ? 'served' : 'failed';
    default:
      return assertNever(end);
  }
}

/** Answers the caller of a failed generation that sent no event. */
export function answerFailure(
  context: RelayContext,
  exchange: CallerExchange,
  end: Exclude<SegmentEnd, {kind: 'complete'}>,
  roomRetryAfterMs: number | undefined,
): void {
  const {response, abortCause} = exchange;
  const {closing} = context;
  switch (end.kind) {
    case 'answer':
      forwardAnswer(response, closing, end.head, end.body);
      return;
    case 'notRun': {
      const retryAfterMs = closing.isClosing
        ? OTHER_ENTRY_RETRY_MS
        : (end.retryAfterMs ?? roomRetryAfterMs ?? REJECTED_RETRY_MS);
      const status = Status.UNAVAILABLE;
      answerWithText(response, closing, status, end.detail, retryAfterMs);
      return;
    }
    case 'cut': {
      const isTimeout = abortCause === AbortCause.TIMED_OUT;
      const status = isTimeout ? Status.GATEWAY_TIMEOUT : Status.BAD_GATEWAY;
      answerWithText(response, closing, status, end.detail);
      return;
    }
    default:
      assertNever(end);
  }
}
