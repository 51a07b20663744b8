import type {SidecarSettings} from '@lilacledge/config';
import type {Call, Link, LoadReport} from '@lilacledge/protocol';
import {SidecarState} from '@lilacledge/protocol';
import {FailureKind, notRun} from '@lilacledge/shared';
import {callFreely, KeyedCalls} from './keyedCalls.js';
import type {CallOutcome, SlotBook} from './keyedCalls.js';
import type {PlainPort} from './ports/plainPort.js';
import type {SidecarMetrics} from './sidecarMetrics.js';
import type {SidecarPorts} from './sidecarPorts.js';

const DRAIN_RETRY_MS = 500;

/** Calls of one plain service. */
export class CallService {
  private readonly keyed: KeyedCalls;
  private running = 0;

  constructor(
    private readonly ports: SidecarPorts,
    private readonly plain: PlainPort,
    slots: SlotBook,
    settings: SidecarSettings,
    private readonly metrics: SidecarMetrics,
  ) {
    this.keyed = new KeyedCalls(ports.clock, plain, slots, settings);
  }

  get openCount(): number {
    return this.running;
  }

  /** Runs a call and answers it on its link, if that is still open. */
  async call(link: Link, message: Call, state: SidecarState): Promise<void> {
    this.metrics.requests.inc({kind: 'call'});
    const outcome = await this.outcomeOf(message, state);
    const {callId} = message;
    if (outcome.kind === 'failed') {
      const {failure} = outcome;
      const {kind, verdict} = failure;
      this.metrics.outcomes.inc({outcome: kind, verdict});
      link.send({type: 'failed', callId, failure});
      return;
    }
    this.metrics.outcomes.inc({outcome: 'answered', verdict: 'ran'});
    const {status, contentType, body} = outcome.response;
    const {isReplay} = outcome;
    link.send({type: 'result', callId, status, contentType, body, isReplay});
  }

  report(state: SidecarState): LoadReport {
    return {
      state,
      queued: 0,
      running: this.running,
      backlogTokens: 0,
      memoryShare: 0,
      predictedWaitMs: 0,
      tokenMs: 0,
      maxBatch: 1,
    };
  }

  private async outcomeOf(
    message: Call,
    state: SidecarState,
  ): Promise<CallOutcome> {
    // A draining sidecar still answers keys that it has a record of.
    if (state === SidecarState.DRAINING && message.key === '') {
      const failure = notRun(
        FailureKind.DRAINING,
        'the endpoint is leaving',
        DRAIN_RETRY_MS,
      );
      return {kind: 'failed', failure};
    }
    const span = this.ports.tracer.startHop(
      'sidecar.call',
      message.traceparent,
    );
    this.running++;
    const passed = {...message, traceparent: span.traceparent};
    const outcome =
      message.key === ''
        ? await callFreely(this.plain, passed)
        : await this.keyed.call(passed);
    this.running--;
    span.end(outcome.kind === 'answered' ? 'ok' : 'failed');
    return outcome;
  }
}
