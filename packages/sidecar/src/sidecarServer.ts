import {createServer} from 'node:http';
import type {Server, ServerResponse} from 'node:http';
import {acceptWsLinks} from '@lilacledge/protocol';
import type {Sidecar} from './createSidecar.js';
import type {SidecarPorts} from './sidecarPorts.js';

/** The HTTP server of one sidecar: links of entries, health and metrics. */
export function createSidecarServer(
  sidecar: Sidecar,
  ports: SidecarPorts,
): Server {
  const server = createServer((request, response) => {
    switch (request.url) {
      case '/livez':
        return answerText(response, 200, 'ok');
      case '/readyz':
        return sidecar.isReady
          ? answerText(response, 200, 'ready')
          : answerText(response, 503, 'not ready');
      case '/metrics':
        return void answerMetrics(ports, response);
      default:
        return answerText(response, 404, 'not found');
    }
  });
  acceptWsLinks(server, (link) => {
    sidecar.serve(link).catch((error: unknown) => {
      ports.logger.part('sidecar').error('Link failed.', {
        error: String(error),
      });
      link.close({kind: 'malformed', detail: 'handler failed'});
    });
  });
  return server;
}

async function answerMetrics(
  ports: SidecarPorts,
  response: ServerResponse,
): Promise<void> {
  answerText(response, 200, await ports.metrics.text());
}

function answerText(
  response: ServerResponse,
  status: number,
  text: string,
): void {
  response.writeHead(status, {'content-type': 'text/plain; charset=utf-8'});
  response.end(text);
}
