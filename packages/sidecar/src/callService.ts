import type {SidecarSettings} from '@lilacledge/config';
import type {Call, Link, LoadReport} from '@lilacledge/protocol';
import {SidecarState} from '@lilacledge/protocol';
import {FailureKind, notRun} from '@lilacledge/shared';
import {callWithoutKey, KeyedCalls} from './keyedCalls.js';
import type {CallOutcome, SlotOwnership} from './keyedCalls.js';
import type {PlainPort} from './ports/plainPort.js';
import type {SidecarMetrics} from './sidecarMetrics.js';
import type {SidecarPorts} from './sidecarPorts.js';

const DRAIN_RETRY_MS = 500;

/** Runs the calls to one plain service. */
export class CallService {
  private readonly keyed: KeyedCalls;
  private running = 0;

  constructor(
    private readonly ports: SidecarPorts,
    private readonly plain: PlainPort,
    slots: SlotOwnership,
    settings: SidecarSettings,
    private readonly metrics: SidecarMetrics,
  ) {
    this.keyed = new KeyedCalls(ports.clock, plain, slots, settings);
  }

  get openCount(): number {
    return this.running;
  }

  /** Runs a call and sends its outcome on the link. */
  async call(link: Link, message: Call, state: SidecarState): Promise<void> {
    this.metrics.requests.inc({kind: 'call'});
    const outcome = await this.run(message, state);
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

  private async run(message: Call, state: SidecarState): Promise<CallOutcome> {
    // A draining sidecar still returns the outcomes of recorded keys.
    if (state === SidecarState.DRAINING && message.key === '') {
      const failure = notRun(
        FailureKind.DRAINING,
        'the endpoint is leaving',
        DRAIN_RETRY_MS,
      );
      return {kind: 'failed', failure};
    }
    const span = this.ports.tracer.startRequestSpan(
      'sidecar.call',
      message.traceparent,
    );
    this.running++;
    const forwarded = {...message, traceparent: span.traceparent};
    const outcome =
      message.key === ''
        ? await callWithoutKey(this.plain, forwarded)
        : await this.keyed.call(forwarded);
    this.running--;
    span.end(outcome.kind === 'answered' ? 'ok' : 'failed');
    return outcome;
  }
}
