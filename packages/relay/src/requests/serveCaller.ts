import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ActiveConfig} from '../config/activeConfig.js';
import {areHeaderNamesValid, isTargetValid} from '../http/headSyntax.js';
import {dropBody} from '../http/discardBody.js';
import {answerWithText, Status} from './answerCaller.js';
import {handleRequest} from './handleRequest.js';
import type {RelayContext} from './relayContext.js';

/** Serves one request of a caller. A failure ends this request only, and not the process. */
export async function serveCaller(
  context: RelayContext,
  config: ActiveConfig,
  incoming: IncomingMessage,
  response: ServerResponse,
  arrivedMs: number,
): Promise<void> {
  if (!isRequestOfHttp(incoming)) {
    refuseForeign(context, incoming, response);
    return;
  }
  try {
    await handleRequest(context, config, incoming, response, arrivedMs);
  } catch (error) {
    endFailed(context, response, error);
  }
}

/** The parser reads more than HTTP: also RTSP, whose methods it does not name. */
function isRequestOfHttp({method, url, rawHeaders}: IncomingMessage): boolean {
  if (method === undefined || url === undefined) return false;
  return isTargetValid(url) && areHeaderNamesValid(rawHeaders);
}

function refuseForeign(
  {closing, readingTurns, log, metrics}: RelayContext,
  incoming: IncomingMessage,
  response: ServerResponse,
): void {
  const status = Status.BAD_REQUEST;
  const cause = 'not a request of HTTP';
  metrics.localAnswers.inc({status, cause});
  log.info('request.refused', {status, cause});
  response.on('error', (error) => {
    log.info('answer.failed', {error: error.message});
  });
  dropBody(incoming, readingTurns);
  response.shouldKeepAlive = false;
  answerWithText(response, closing, status, cause);
}

/** Ends a request of which a step has failed, and not the process. */
export function endFailed(
  {closing, log}: RelayContext,
  response: ServerResponse,
  error: unknown,
): void {
  log.error('request.failed', {
    error: error instanceof Error ? error.stack : String(error),
  });
  if (response.headersSent) {
    response.destroy();
    return;
  }
  // The answer must not claim that the request did not run.
  answerWithText(response, closing, Status.BAD_GATEWAY, 'internal error');
}
