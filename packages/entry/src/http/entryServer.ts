import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {answerProbe} from '@lilacledge/telemetry';
import {toNodeHandler} from 'h3/node';
import type {Entry} from '../createEntry.js';
import {createCallerApi} from './callerApi.js';
import {createOperatorRoutes, requireOperatorKey} from './operatorRoutes.js';

const OPERATOR_PREFIX = '/lilacledge.operator.v1.';

/**
 * Creates the HTTP server of an entry, for callers, operators, health probes
 * and metrics.
 */
export function createEntryServer(entry: Entry): Server {
  const callers = toNodeHandler(createCallerApi(entry));
  const operators = connectNodeAdapter({
    routes: createOperatorRoutes(entry),
    interceptors: [requireOperatorKey(entry.settings.operatorKey)],
  });
  return createServer((request, response) => {
    const path = request.url ?? '';
    const {isReady, ports} = entry;
    if (answerProbe(path, {isReady, metrics: ports.metrics}, response)) return;
    if (path.startsWith(OPERATOR_PREFIX)) return operators(request, response);
    response.once('close', entry.holdOpen());
    void callers(request, response as ServerResponse<IncomingMessage>);
  });
}
