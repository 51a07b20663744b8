import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {listenPatienceMs, ListenRetry} from '@lilacledge/policy';
import {sleep, systemClock} from '@lilacledge/shared';
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

/** How often a failure to listen or to accept is logged. */
const LOG_INTERVAL_MS = 2_000;

/**
 * Starts the server on the given address, again and again while that fails for a cause that
 * passes; resolves with the bound port. SIGTERM ends the process meanwhile, as it serves nobody.
 */
export async function listen(
  server: Server,
  host: string,
  port: number,
  logger: Logger,
): Promise<number> {
  const retry = new ListenRetry(listenPatienceMs(), Math.random);
  const startMs = systemClock.nowMs();
  let loggedMs = Number.NEGATIVE_INFINITY;
  for (;;) {
    try {
      const bound = await listenOnce(server, host, port);
      logAcceptErrors(server, logger);
      return bound;
    } catch (error) {
      const {code} = error as NodeJS.ErrnoException;
      const decision = retry.next(code);
      if (decision.kind === 'giveUp') throw error;
      const nowMs = systemClock.nowMs();
      if (nowMs - loggedMs >= LOG_INTERVAL_MS) {
        loggedMs = nowMs;
        const afterMs = Math.round(nowMs - startMs);
        logger.warn('Cannot listen yet.', {host, port, code, afterMs});
      }
      await sleep(systemClock, decision.afterMs);
    }
  }
}

function listenOnce(
  server: Server,
  host: string,
  port: number,
): Promise<number> {
  return new Promise((resolve, reject) => {
    const isListening = (): void => {
      server.removeListener('error', fail);
      resolve((server.address() as AddressInfo).port);
    };
    const fail = (error: Error): void => {
      server.removeListener('listening', isListening);
      reject(error);
    };
    server.once('error', fail);
    server.once('listening', isListening);
    server.listen(port, host);
  });
}

/** A connection that can't be accepted is lost or waits; the server goes on listening. */
function logAcceptErrors(server: Server, logger: Logger): void {
  let loggedMs = Number.NEGATIVE_INFINITY;
  server.on('error', (error) => {
    const nowMs = systemClock.nowMs();
    if (nowMs - loggedMs < LOG_INTERVAL_MS) return;
    loggedMs = nowMs;
    logger.warn('Cannot accept a connection.', {error: String(error)});
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
