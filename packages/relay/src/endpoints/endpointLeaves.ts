import type {Clock} from '@lilacledge/shared';
import type {Logger} from '../log/boundedLog.js';
import {LeaveSource} from './endpoint.js';
import type {Endpoint} from './endpoint.js';

/** Logs the endpoints that begin to leave and tells the listeners of them. */
export class EndpointLeaves {
  private readonly leaveListeners: Array<(endpoint: Endpoint) => void> = [];

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {}

  /** Calls `listener` for each endpoint that begins to leave. */
  onLeaving(listener: (endpoint: Endpoint) => void): void {
    this.leaveListeners.push(listener);
  }

  /** Records that the endpoint is leaving, and the source of the notice. */
  noteLeaving(
    endpoint: Endpoint,
    source: LeaveSource,
    leavesInMs?: number,
  ): void {
    const nowMs = this.clock.nowMs();
    const leavesAtMs =
      leavesInMs === undefined ? undefined : nowMs + leavesInMs;
    if (endpoint.noteLeaveReceived(nowMs, leavesAtMs)) {
      this.emitLeave(endpoint, source, nowMs);
    }
  }

  /** Records that the endpoint's own answer announced its leave. */
  noteLeaveAnnounced(endpoint: Endpoint): void {
    const nowMs = this.clock.nowMs();
    if (endpoint.noteLeaveAnnounced(nowMs)) {
      this.emitLeave(endpoint, LeaveSource.ANSWER, nowMs);
    }
  }

  /** Tells that the endpoint leaves, and since when this process could have seen it. */
  emitLeave(endpoint: Endpoint, source: LeaveSource, sinceMs: number): void {
    this.log.info('endpoint.leaving', {
      endpoint: endpoint.id,
      service: endpoint.record.service,
      source,
      open: endpoint.outstanding,
      unseenForMs: Math.round(this.clock.nowMs() - sinceMs),
    });
    for (const listener of this.leaveListeners) listener(endpoint);
  }
}
