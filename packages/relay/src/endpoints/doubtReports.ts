import {DoubtCause} from '@lilacledge/policy';
import type {Doubt} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';
import type {Logger} from '../log/boundedLog.js';
import type {Endpoint} from './endpoint.js';
import type {EndpointIndex} from './endpointIndex.js';

/**
 * A process that doubts more than this share of a service's endpoints probably has a
 * network problem of its own, so it does not report its doubts to other entries.
 */
const MAX_DOUBTED_SHARE = 0.34;

/**
 * Causes of doubts that are reported to other entries. A missing response may be this
 * process's own fault. Errors are excluded because they cluster by chance: with one
 * error in seven calls, a service would be left with two of three endpoints.
 */
const SHARED_DOUBT_CAUSES: ReadonlySet<DoubtCause> = new Set([
  DoubtCause.RESET,
  DoubtCause.PEER,
]);

/** Called with an endpoint that should be avoided for some time. */
export type DoubtListener = (endpoint: Endpoint, forMs: number) => void;

/** Logs doubts about endpoints and selects those to report to other entries. */
export class DoubtReports {
  private readonly doubtListeners: DoubtListener[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly endpoints: EndpointIndex,
  ) {}

  /** Calls `listener` for each doubt that should be reported to other entries. */
  onDoubtToReport(listener: DoubtListener): void {
    this.doubtListeners.push(listener);
  }

  /** Records that an endpoint should be avoided for some time. */
  note(endpoint: Endpoint, doubt: Doubt): void {
    // Sends to a former incarnation say nothing about the current one.
    if (endpoint.hasEnded) return;
    const {service} = endpoint.record;
    const {cause, forMs} = doubt;
    const group = [...this.endpoints.ofService(service)];
    const nowMs = this.clock.nowMs();
    const doubted = group.filter(({health}) => health.isDoubted(nowMs)).length;
    this.log.info('endpoint.doubted', {
      endpoint: endpoint.id,
      service,
      cause,
      forMs,
      doubted,
      endpoints: group.length,
    });
    const isMostOfService =
      doubted > Math.max(1, group.length * MAX_DOUBTED_SHARE);
    if (!SHARED_DOUBT_CAUSES.has(cause) || isMostOfService) return;
    for (const listener of this.doubtListeners) listener(endpoint, forMs);
  }
}
