import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createEtcdStore} from '@lilacledge/store';
import type {KeyValueStore} from '@lilacledge/store';
import type {ProcessSettings} from '@lilacledge/config';
import {createLogger, createMetrics, createTracer} from '@lilacledge/telemetry';
import type {Logger, MetricsRegistry, Tracer} from '@lilacledge/telemetry';

/** Dependencies that a process of either role needs. */
export interface ProcessResources {
  readonly logger: Logger;
  readonly metrics: MetricsRegistry;
  readonly tracer: Tracer;
  readonly store: KeyValueStore;
}

/** Creates the dependencies that both roles share. */
export async function createProcessResources(
  settings: ProcessSettings,
): Promise<ProcessResources> {
  const {instanceId, logLevel, platform, role, tracesUrl} = settings;
  return {
    logger: createLogger({level: logLevel, instanceId}),
    metrics: createMetrics(true),
    tracer: await createTracer({role, instanceId, tracesUrl}),
    store: createEtcdStore({
      url: platform.keyValueUrl,
      requestTimeoutMs: platform.requestTimeoutMs,
    }),
  };
}

/** Starts the server on the given address; resolves with the bound port. */
export function listen(
  server: Server,
  host: string,
  port: number,
): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}

/** Runs `shutdown` once on SIGTERM or SIGINT, then exits the process. */
export function onTerminate(
  resources: ProcessResources,
  server: Server,
  shutdown: () => Promise<void>,
): void {
  let isShuttingDown = false;
  const handleSignal = (): void => {
    if (isShuttingDown) return;
    isShuttingDown = true;
    shutdown()
      .then(() => resources.tracer.shutdown())
      .catch((error: unknown) => {
        resources.logger.error('Shutdown failed.', {error: String(error)});
      })
      .finally(() => {
        server.close();
        server.closeAllConnections();
        process.exit(0);
      });
  };
  process.on('SIGTERM', handleSignal);
  process.on('SIGINT', handleSignal);
}
