import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Registry} from 'prom-client';
import type {EndpointAddress} from '../model/index.js';
import {listen} from './listen.js';
import type {ListenOptions} from './listen.js';

const METRICS_PATH = '/metrics';

/** Answers `/metrics` in the Prometheus text format, and any other path with 404. */
export async function answerMetrics(
  registry: Registry,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  if (request.url !== METRICS_PATH) {
    response.writeHead(404, {'content-length': 0}).end();
    return;
  }
  const text = await registry.metrics();
  response.writeHead(200, {'content-type': registry.contentType}).end(text);
}

/** Starts a server for the metrics of this process at a separate address. */
export function startMetricsServer(
  registry: Registry,
  address: EndpointAddress,
  options: Omit<ListenOptions, 'purpose' | 'isOptional'>,
): Server {
  const server = createServer((request, response) => {
    answerMetrics(registry, request, response).catch((error: unknown) => {
      options.log.error('metrics.notRead', {error: String(error)});
      if (!response.headersSent) response.writeHead(500);
      response.end();
    });
  });
  // A failure of the metrics server must not stop the process from serving requests.
  listen(server, address, {...options, purpose: 'metrics', isOptional: true});
  return server;
}
