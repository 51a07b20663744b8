import {assertNever} from '@lilacledge/shared';
import type {AnswerHead} from '../ports.js';
import {answerOwn, answerWhole, Status} from './answerCaller.js';
import {AbortCause} from './callerExchange.js';
import type {CallerExchange} from './callerExchange.js';
import type {RelayContext} from './relayContext.js';

/** How one stretch of a generation at one endpoint ended. */
export type StretchEnd =
  | {readonly kind: 'complete'}
  | {
      readonly kind: 'notRun';
      readonly detail: string;
      /** When the caller should come back, if that is known. */
      readonly retryAfterMs?: number;
    }
  /** The stream was cut, or never began; the run may go on from its memory. */
  | {readonly kind: 'cut'; readonly detail: string}
  /** The endpoint answered with something that is no stream. */
  | {readonly kind: 'answer'; readonly head: AnswerHead; readonly body: Buffer};

/**
 * When to come back after endpoints rejected a generation that had room: they
 * were full of what other entries sent, which their next reports show.
 */
const REJECTED_RETRY_MS = 500;

/** A caller that leaves a closing entry finds another one at once. */
const OTHER_ENTRY_RETRY_MS = 50;

/** Answers the caller of a generation that sent no event. */
export function answerFailure(
  context: RelayContext,
  exchange: CallerExchange,
  end: Exclude<StretchEnd, {kind: 'complete'}>,
  roomExpectedMs: number | undefined,
): void {
  const {response, abortCause} = exchange;
  const {closing} = context;
  switch (end.kind) {
    case 'answer':
      answerWhole(response, closing, end.head, end.body);
      return;
    case 'notRun': {
      const retryAfterMs = closing.isClosing
        ? OTHER_ENTRY_RETRY_MS
        : (end.retryAfterMs ?? roomExpectedMs ?? REJECTED_RETRY_MS);
      const status = Status.UNAVAILABLE;
      answerOwn(response, closing, status, end.detail, retryAfterMs);
      return;
    }
    case 'cut': {
      const isTimeout = abortCause === AbortCause.TIMED_OUT;
      const status = isTimeout ? Status.GATEWAY_TIMEOUT : Status.BAD_GATEWAY;
      answerOwn(response, closing, status, end.detail);
      return;
    }
    default:
      assertNever(end);
  }
}
