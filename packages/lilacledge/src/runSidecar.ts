import type {SidecarSettings} from '@lilacledge/config';
import {systemClock} from '@lilacledge/shared';
import {
  createHttpEngine,
  createHttpPlain,
  createSidecar,
  createSidecarServer,
} from '@lilacledge/sidecar';
import type {EndpointPort} from '@lilacledge/sidecar';
import {createProcessResources, listen, onTerminate} from './runProcess.js';

const PLAIN_CALL_TIMEOUT_MS = 30_000;

/** Runs a sidecar until SIGTERM or SIGINT. */
export async function runSidecar(settings: SidecarSettings): Promise<void> {
  const resources = await createProcessResources(settings);
  const ports = {
    clock: systemClock,
    random: Math.random,
    store: resources.store,
    endpoint: createEndpoint(settings),
    logger: resources.logger,
    metrics: resources.metrics,
    tracer: resources.tracer,
  };
  // The port must be bound before any key slot is claimed: listening on this
  // address proves that the predecessor there is dead.
  const sidecar = createSidecar(ports, settings);
  const server = createSidecarServer(sidecar, ports);
  const {host, port: wanted} = settings;
  const port = await listen(server, host, wanted, resources.logger);
  sidecar.start();
  resources.logger.info('Sidecar is listening.', {
    port,
    incarnation: sidecar.incarnation,
  });
  onTerminate(resources, server, () => sidecar.shutdown());
}

function createEndpoint(settings: SidecarSettings): EndpointPort {
  const {kind, url} = settings.endpoint;
  switch (kind) {
    case 'engine':
      return {kind, engine: createHttpEngine(url)};
    case 'plain':
      return {kind, plain: createHttpPlain(url, PLAIN_CALL_TIMEOUT_MS)};
  }
}
