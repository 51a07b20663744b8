import type {SidecarSettings} from '@lilacledge/config';
import {systemClock} from '@lilacledge/shared';
import {
  createHttpEngine,
  createHttpPlain,
  createSidecar,
  createSidecarServer,
} from '@lilacledge/sidecar';
import type {EndpointPort} from '@lilacledge/sidecar';
import {createProcessParts, listen, onTerminate} from './runProcess.js';

const PLAIN_TIMEOUT_MS = 30_000;

/** Runs one sidecar until it is told to leave. */
export async function runSidecar(settings: SidecarSettings): Promise<void> {
  const parts = await createProcessParts(settings);
  const ports = {
    clock: systemClock,
    random: Math.random,
    store: parts.store,
    endpoint: createEndpoint(settings),
    logger: parts.logger,
    metrics: parts.metrics,
    tracer: parts.tracer,
  };
  // The port is bound before any slot is claimed: that a process listens here
  // proves that its predecessor at this address is dead.
  const sidecar = createSidecar(ports, settings);
  const server = createSidecarServer(sidecar, ports);
  const port = await listen(server, settings.host, settings.port);
  sidecar.start();
  parts.logger.info('Sidecar listens.', {
    port,
    incarnation: sidecar.incarnation,
  });
  onTerminate(parts, server, () => sidecar.shutdown());
}

function createEndpoint(settings: SidecarSettings): EndpointPort {
  const {kind, url} = settings.endpoint;
  switch (kind) {
    case 'engine':
      return {kind, engine: createHttpEngine(url)};
    case 'plain':
      return {kind, plain: createHttpPlain(url, PLAIN_TIMEOUT_MS)};
  }
}
