import type {IncomingMessage, ServerResponse} from 'node:http';
import {dropBody} from '../http/discardBody.js';
import {answerWithText, OTHER_ENTRY_RETRY_MS, Status} from './answerCaller.js';
import type {RelayContext} from './relayContext.js';

const CAUSE = 'too many requests sent ahead';

/** Refuses a request that its caller sent before it had the answers to many earlier ones. */
export function refuseSentAhead(
  {codec, readingTurns, metrics, log, closing}: RelayContext,
  incoming: IncomingMessage,
  response: ServerResponse,
): void {
  // The HTTP parser also reads RTSP, whose methods it does not name.
  const {method = '', url = '', rawHeaders} = incoming;
  const {requestId, host} = codec.readRequest(method, url, rawHeaders);
  const status = Status.UNAVAILABLE;
  response.sendDate = false;
  response.on('error', () => {});
  dropBody(incoming, readingTurns);
  metrics.localAnswers.inc({status, cause: CAUSE});
  log.info('request.refused', {request: requestId, host, status, cause: CAUSE});
  answerWithText(response, closing, status, CAUSE, OTHER_ENTRY_RETRY_MS);
}
