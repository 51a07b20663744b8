import {createServer} from 'node:http';
import type {Server} from 'node:http';
import {acceptWsLinks} from '@lilacledge/protocol';
import {answerProbe} from '@lilacledge/telemetry';
import type {Sidecar} from './createSidecar.js';
import type {SidecarPorts} from './sidecarPorts.js';

/** Creates the HTTP server of a sidecar: entry links, probes and metrics. */
export function createSidecarServer(
  sidecar: Sidecar,
  ports: SidecarPorts,
): Server {
  const {metrics} = ports;
  const server = createServer((request, response) => {
    const {isReady} = sidecar;
    const path = request.url ?? '';
    if (answerProbe(path, {isReady, metrics}, response)) return;
    response.writeHead(404).end();
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
