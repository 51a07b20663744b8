/** @fileoverview Messages with which entries share their state of endpoints, zones and requests. */

import type {PeerLimitReport, Suspicion} from '@lilacledge/policy';
import type {ZoneStatus} from '../endpoints/zoneEvacuations.js';
import type {ZoneLoad} from '../endpoints/zoneLoads.js';

/** Mean load of the engines of one service in the sender's zone. */
export interface ZoneLoadNotice extends ZoneLoad {
  readonly type: 'zoneLoad';
}

/** The sender avoids an endpoint that refused or failed its requests. */
export interface EndpointDoubted {
  readonly type: 'endpointDoubted';
  readonly endpointId: string;
  /** Unix start time of the incarnation that is avoided. */
  readonly startedAtMs?: number;
  /** How much longer it is avoided. */
  readonly forMs: number;
}

/** The rate limit that an endpoint announces in its answers, as known to the sender. */
export interface EndpointLimitNotice extends PeerLimitReport {
  readonly type: 'endpointLimit';
  readonly endpointId: string;
  /** Unix start time of the incarnation that announced it. */
  readonly startedAtMs?: number;
}

/** The evacuation status of an availability zone, as known to the sender. */
export interface ZoneStatusNotice extends ZoneStatus {
  readonly type: 'zoneStatus';
}

/** The crashes of endpoints during a request, as known to the sender. */
export interface SuspicionNotice extends Suspicion {
  /** `longSuspicion` if it names more features than earlier builds read in one list. */
  readonly type: 'suspicion' | 'longSuspicion';
}
