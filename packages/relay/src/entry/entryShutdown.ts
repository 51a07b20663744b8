import {sleep} from '@lilacledge/shared';
import type {Clock} from '@lilacledge/shared';
import type {CallerConnections} from '../http/callerConnections.js';
import type {RequestTurns} from '../http/requestTurns.js';
import type {Logger} from '../log/boundedLog.js';
import type {EntryClosing} from '../requests/closingState.js';
import type {RelaySettings} from '../settings.js';

/** Part of the grace period that is kept for the process to exit by itself. */
const EXIT_MARGIN_MS = 250;

/** How long an exit waits for the removal of the registration; less than the margin. */
const REMOVAL_TIMEOUT_MS = 150;

/**
 * How long new connections may still arrive after readiness ends: the balancer needs two
 * failed checks, one per second, plus a margin.
 */
const BALANCER_DETECTION_MS = 3_200;

/** How often a shutdown checks for open requests; short compared with the grace period. */
const DRAIN_CHECK_INTERVAL_MS = 50;

/** What a shutdown ends or waits for. */
export interface ShutdownParts {
  readonly clock: Clock;
  readonly log: Logger;
  readonly settings: RelaySettings;
  readonly closing: EntryClosing;
  readonly connections: CallerConnections;
  readonly turns: RequestTurns;
  /** Aborted once the entry begins to leave. */
  readonly leaving: AbortController;
  /** Resolves once the registration was removed, which `stop` begins. */
  readonly registration: Promise<void>;
  stop(): void;
}

/** Stops an entry after all requests have ended, or at the end of the grace period. */
export async function shutDownEntry(parts: ShutdownParts): Promise<void> {
  const {clock, log, settings, closing, connections, turns} = parts;
  const startMs = clock.nowMs();
  parts.leaving.abort();
  log.info('entry.leaving', {
    open: connections.open.requestCount,
    graceMs: settings.graceMs,
  });
  closing.begin(startMs, settings.graceMs - EXIT_MARGIN_MS);
  const endMs = closing.endsAtMs;
  const idleFromMs = startMs + BALANCER_DETECTION_MS;
  while (clock.nowMs() < endMs) {
    const isBalancerInformed = clock.nowMs() >= idleFromMs;
    const isDone = connections.open.requestCount === 0 && !turns.isLingering;
    if (isBalancerInformed && isDone) break;
    await sleep(clock, DRAIN_CHECK_INTERVAL_MS);
  }
  log.info('entry.left', {
    open: connections.open.requestCount,
    afterMs: Math.round(clock.nowMs() - startMs),
  });
  parts.stop();
  await Promise.race([parts.registration, sleep(clock, REMOVAL_TIMEOUT_MS)]);
}
