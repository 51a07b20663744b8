import {createRandom} from '@lilacledge/shared';
import type {PlannedFault} from './faultPlan.js';

/** Largest body where callers upload. */
const MAX_BODY_BYTES = 1_048_576;

/** The size of the configuration and the throughput of the links to the store. */
export interface BulkSettings {
  /** Routes that no request matches. */
  readonly unusedRoutes: number;
  /** Throughput at which each program receives the answers of the store. */
  readonly bytesPerMs: number;
  /** Largest body of a request; that of the base configuration by default. */
  readonly maxBodyBytes?: number;
}

/** A small configuration over links of unlimited throughput. */
export const SMALL_CONFIG: BulkSettings = {
  unusedRoutes: 0,
  bytesPerMs: Number.POSITIVE_INFINITY,
};

/** A small configuration that allows large bodies. */
export const LARGE_BODIES_CONFIG: BulkSettings = {
  ...SMALL_CONFIG,
  maxBodyBytes: MAX_BODY_BYTES,
};

/** A configuration of about 340 kB over the slowest links, of 10 Mbit/s. */
export const LARGE_CONFIG: BulkSettings = {
  unusedRoutes: 1_400,
  bytesPerMs: 1_250,
};

/** Time between two versions of the configuration. */
const VERSION_INTERVAL_MS = 330;

/** Mean time between two leaves of endpoints without a sidecar, drawn once for each run. */
const LEAVE_INTERVAL_MS = 1_100;

/** Plans endpoints that leave while a large configuration changes repeatedly; nothing fails. */
export function planBulkFaults(
  seed: number,
  durationMs: number,
): PlannedFault[] {
  const random = createRandom(seed);
  const faults: PlannedFault[] = [];
  const schedule = (
    kind: 'configChange' | 'serviceLeaves',
    intervalMs: number,
  ): void => {
    for (let atMs = intervalMs; atMs < durationMs; atMs += intervalMs) {
      const target = Math.floor(random() * 1_000);
      faults.push({what: {kind}, atMs: Math.round(atMs), forMs: 0, target});
    }
  };
  schedule('configChange', VERSION_INTERVAL_MS);
  schedule('serviceLeaves', LEAVE_INTERVAL_MS * (0.5 + random()));
  return faults.sort((a, b) => a.atMs - b.atMs);
}
