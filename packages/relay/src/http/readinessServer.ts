import {createServer} from 'node:http';
import type {Server} from 'node:http';

/** Answers the readiness checks of the platform's balancer. */
export function createReadinessServer(
  path: string,
  isReady: () => boolean,
): Server {
  return createServer((request, response) => {
    const isKnown = request.url === path;
    const status = !isKnown ? 404 : isReady() ? 200 : 503;
    response.writeHead(status, {'content-length': 0});
    response.end();
  });
}
