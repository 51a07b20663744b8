import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {toNodeHandler} from 'h3/node';
import type {Entry} from '../createEntry.js';
import {createCallerApi} from './callerApi.js';
import {createOperatorRoutes, requireOperatorKey} from './operatorRoutes.js';

const OPERATOR_PREFIX = '/lilacledge.operator.v1.';

/** The HTTP server of one entry: callers, operators, health and metrics. */
export function createEntryServer(entry: Entry): Server {
  const callers = toNodeHandler(createCallerApi(entry));
  const operators = connectNodeAdapter({
    routes: createOperatorRoutes(entry),
    interceptors: [requireOperatorKey(entry.settings.operatorKey)],
  });
  return createServer((request, response) => {
    const path = request.url ?? '';
    if (path.startsWith(OPERATOR_PREFIX)) return operators(request, response);
    if (path === '/livez') return answerText(response, 200, 'ok');
    if (path === '/readyz') return answerReady(entry, response);
    if (path === '/metrics') return void answerMetrics(entry, response);
    return void callers(request, response as ServerResponse<IncomingMessage>);
  });
}

function answerReady(entry: Entry, response: ServerResponse): void {
  const isReady = entry.isReady;
  answerText(response, isReady ? 200 : 503, isReady ? 'ready' : 'not ready');
}

async function answerMetrics(
  entry: Entry,
  response: ServerResponse,
): Promise<void> {
  answerText(response, 200, await entry.ports.metrics.text());
}

function answerText(
  response: ServerResponse,
  status: number,
  text: string,
): void {
  response.writeHead(status, {'content-type': 'text/plain; charset=utf-8'});
  response.end(text);
}
