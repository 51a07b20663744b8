import type {SidecarSettings} from '@lilacledge/config';
import {DEFAULT_POLICY} from '@lilacledge/config';
import type {FleetConfig} from '@lilacledge/config';
import type {Link, LoadReport, Resume, Submit} from '@lilacledge/protocol';
import {SidecarState} from '@lilacledge/protocol';
import {FailureKind, mayHaveRun, notRun} from '@lilacledge/shared';
import type {Failure} from '@lilacledge/shared';
import {EngineScheduler} from './engineScheduler.js';
import {Generation} from './generation.js';
import {GenerationRegistry} from './generationRegistry.js';
import type {EnginePort} from './ports/enginePort.js';
import {runGeneration} from './runGeneration.js';
import type {SidecarMetrics} from './sidecarMetrics.js';
import type {SidecarPorts} from './sidecarPorts.js';

const DRAIN_RETRY_MS = 500;
const LOST_GENERATION_RETRY_MS = 1_000;

/** Manages the generations of one engine from submission to retention end. */
export class GenerationService {
  readonly scheduler: EngineScheduler;
  private readonly registry: GenerationRegistry;
  private readonly generationsByLink = new Map<Link, Map<number, Generation>>();
  private readonly activity = {lastEventAtMs: 0};
  private sequence = 0;

  constructor(
    private readonly ports: SidecarPorts,
    private readonly engine: EnginePort,
    private readonly settings: SidecarSettings,
    private readonly incarnation: string,
    private readonly metrics: SidecarMetrics,
  ) {
    this.registry = new GenerationRegistry(
      ports.clock,
      settings.logRetentionMs,
    );
    const logger = ports.logger.part('scheduler');
    this.scheduler = new EngineScheduler(
      {
        clock: ports.clock,
        run: (generation, priority) => this.run(generation, priority),
        logDecision: (requestId, what) => logger.debug(what, {requestId}),
      },
      DEFAULT_POLICY,
    );
  }

  get openCount(): number {
    return this.scheduler.openCount;
  }

  applyConfig(config: FleetConfig): void {
    const service = config.services[this.settings.service];
    if (service?.kind === 'model') this.scheduler.setPolicy(service.policy);
  }

  submit(link: Link, message: Submit, state: SidecarState): void {
    const {callId} = message;
    this.metrics.requests.inc({kind: 'generation'});
    const refusal =
      state === SidecarState.DRAINING
        ? notRun(
            FailureKind.DRAINING,
            'the endpoint is leaving',
            DRAIN_RETRY_MS,
          )
        : this.accept(link, message);
    if (refusal === undefined) return;
    this.countOutcome(refusal);
    link.send({type: 'failed', callId, failure: refusal});
  }

  resume(link: Link, message: Resume): void {
    const {callId, generationId} = message;
    const generation = this.registry.find(generationId);
    const refusal = resumeRefusal(generation, message);
    if (refusal !== undefined) {
      link.send({type: 'failed', callId, failure: refusal});
      return;
    }
    link.send({type: 'accepted', callId, generationId});
    this.attach(generation!, link, message);
  }

  addCredit(link: Link, callId: number, count: number): void {
    this.findGeneration(link, callId)?.addCredit(count);
  }

  cancel(link: Link, callId: number, abandon: boolean): void {
    const generation = this.findGeneration(link, callId);
    if (generation === undefined) return;
    generation.detach(link, callId);
    if (abandon) this.drop(generation, 'the caller gave up');
  }

  /** Detaches all readers of a link that has ended. */
  detachAll(link: Link): void {
    for (const [callId, generation] of this.generationsByLink.get(link) ?? []) {
      generation.detach(link, callId);
    }
    this.generationsByLink.delete(link);
  }

  /** Cancels what still runs when a shutdown has reached its time limit. */
  cancelAll(detail: string): void {
    for (const generation of this.registry.all()) this.drop(generation, detail);
  }

  report(state: SidecarState): LoadReport {
    return this.scheduler.report(state);
  }

  private accept(link: Link, message: Submit): Failure | undefined {
    const id = `${this.incarnation}-${++this.sequence}`;
    const nowMs = this.ports.clock.nowMs();
    const generation = new Generation(
      id,
      message,
      nowMs,
      this.ports.clock,
      this.settings.resumeGraceMs,
    );
    generation.abort.signal.addEventListener('abort', () => {
      if (this.scheduler.dequeue(generation)) this.registry.retire(generation);
    });
    link.send({type: 'accepted', callId: message.callId, generationId: id});
    this.attach(generation, link, message);
    const refusal = this.scheduler.submit(generation);
    if (refusal === undefined) this.registry.add(generation);
    return refusal;
  }

  private async run(generation: Generation, priority: number): Promise<void> {
    const {requestId, traceparent} = generation.request;
    const span = this.ports.tracer.startRequestSpan(
      'sidecar.generate',
      traceparent,
    );
    span.event('admitted', {requestId, generationId: generation.id});
    const settings = {
      clock: this.ports.clock,
      priority,
      engineSilenceMs: this.settings.engineSilenceMs,
      activity: this.activity,
    };
    await runGeneration(this.engine, generation, settings, this, span);
    this.metrics.outcomes.inc({outcome: 'ended', verdict: 'ran'});
    this.registry.retire(generation);
  }

  onTokens(generation: Generation, tokens: number): void {
    this.metrics.tokens.inc(tokens);
    this.scheduler.noteProgress(generation);
  }

  private drop(generation: Generation, detail: string): void {
    if (generation.isEnded) return;
    generation.cancel(detail);
  }

  private findGeneration(link: Link, callId: number): Generation | undefined {
    return this.generationsByLink.get(link)?.get(callId);
  }

  /** Makes `link` the reader until it is released. */
  private attach(
    generation: Generation,
    link: Link,
    message: Submit | Resume,
  ): void {
    const {callId, credit} = message;
    const offset = message.type === 'resume' ? message.fromOffset : 0;
    const generations =
      this.generationsByLink.get(link) ?? new Map<number, Generation>();
    this.generationsByLink.set(link, generations);
    generations.set(callId, generation);
    generation.attach({link, callId, offset, credit}, () => {
      generations.delete(callId);
    });
  }

  private countOutcome(failure: Failure): void {
    this.metrics.outcomes.inc({
      outcome: failure.kind,
      verdict: failure.verdict,
    });
  }
}

function resumeRefusal(
  generation: Generation | undefined,
  message: Resume,
): Failure | undefined {
  if (generation === undefined) {
    return mayHaveRun(
      FailureKind.RESUME_REFUSED,
      'the generation is no longer kept here',
      LOST_GENERATION_RETRY_MS,
    );
  }
  if (generation.request.organisationId !== message.organisationId) {
    return notRun(
      FailureKind.RESUME_REFUSED,
      'the generation belongs to another organisation',
    );
  }
  if (message.fromOffset > generation.producedTokens) {
    return notRun(
      FailureKind.RESUME_REFUSED,
      'the offset is beyond what was produced',
    );
  }
  return undefined;
}
