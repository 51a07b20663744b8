import type {Server} from 'node:http';
import {listenPatienceMs, ListenRetry} from '@lilacledge/policy';
import type {CancelTimer, Clock, Random} from '@lilacledge/shared';
import type {Logger} from '../log/boundedLog.js';
import type {EndpointAddress} from '../model/index.js';

/** Connections that wait to be accepted while the event loop is busy. */
const BACKLOG = 1_024;

/** How often a failure that lasts is logged. */
const LOG_INTERVAL_MS = 2_000;

/** How a server listens. */
export interface ListenOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  /** What the server is for, in the log. */
  readonly purpose: string;
  /** Grace period of the processes of this instance. */
  readonly graceMs: number;
  /** True if the process does its work without this server, and never ends for it. */
  readonly isOptional?: boolean;
  /** No more tries are made once it is aborted. */
  readonly signal: AbortSignal;
}

/** A server that listens as soon as it can. */
export interface Listening {
  readonly isOpen: boolean;
  /** Resolves once the server listens; never if that is given up. */
  readonly opened: Promise<void>;
}

/**
 * Listens at the address, again and again while that fails for a cause that passes. Throws
 * in a callback, which ends the process, once that is given up and the server isn't optional.
 */
export function listen(
  server: Server,
  {host, port}: EndpointAddress,
  options: ListenOptions,
): Listening {
  const {clock, log, purpose, signal} = options;
  const where = {purpose, host, port};
  const startMs = clock.nowMs();
  const patienceMs = options.isOptional
    ? Number.POSITIVE_INFINITY
    : listenPatienceMs(options.graceMs);
  const retry = new ListenRetry(patienceMs, options.random);
  const failures = new LogInterval(clock);
  const unaccepted = new LogInterval(clock);
  let cancelRetry: CancelTimer = () => {};
  let isOpen = false;
  let hasFailed = false;

  const opened = new Promise<void>((resolve) => {
    server.once('listening', () => {
      isOpen = true;
      if (hasFailed) log.info('listen.recovered', {...where, ...age()});
      resolve();
    });
  });
  server.on('error', (error: NodeJS.ErrnoException) => {
    if (isOpen) noteNotAccepted(error);
    else noteFailure(error);
  });
  signal.addEventListener('abort', () => cancelRetry(), {once: true});
  tryToListen();

  function tryToListen(): void {
    server.listen({host, port, backlog: BACKLOG});
  }

  function noteFailure(error: NodeJS.ErrnoException): void {
    hasFailed = true;
    if (signal.aborted) return;
    const {code, message} = error;
    const decision = retry.next(code);
    const fields = {...where, code, error: message};
    if (decision.kind === 'giveUp') {
      log.error('listen.givenUp', {...fields, ...age()});
      if (options.isOptional) return;
      throw error;
    }
    if (failures.isDue()) log.warn('listen.failed', {...fields, ...age()});
    cancelRetry = clock.after(decision.afterMs, tryToListen);
  }

  /** The connection is lost or waits; the server goes on listening. */
  function noteNotAccepted({code, message}: NodeJS.ErrnoException): void {
    if (!unaccepted.isDue()) return;
    log.warn('listen.notAccepted', {...where, code, error: message});
  }

  function age(): {afterMs: number} {
    return {afterMs: Math.round(clock.nowMs() - startMs)};
  }

  return {
    get isOpen() {
      return isOpen;
    },
    opened,
  };
}

/** Limits a log line to one in each interval. */
class LogInterval {
  private lastMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly clock: Clock) {}

  isDue(): boolean {
    const nowMs = this.clock.nowMs();
    if (nowMs - this.lastMs < LOG_INTERVAL_MS) return false;
    this.lastMs = nowMs;
    return true;
  }
}
