import type {PolicySettings} from '@lilacledge/config';
import type {LoadReport, SidecarState} from '@lilacledge/protocol';
import {
  decideAdmission,
  LengthEstimator,
  usableCapacity,
} from '@lilacledge/policy';
import type {
  AdmissionDecision,
  EngineCapacity,
  MemoryClaim,
} from '@lilacledge/policy';
import type {CancelTimer, Clock, Failure} from '@lilacledge/shared';
import {FailureKind, notRun} from '@lilacledge/shared';
import type {Generation} from './generation.js';
import {OrganisationUse} from './organisationUse.js';
import {toAdmissionRule} from './policyRules.js';
import {PromptPacer} from './promptPacer.js';
import {RunningGenerations} from './runningGenerations.js';
import {
  enginePriority,
  isShort,
  toClaim,
  toScheduled,
} from './scheduledGeneration.js';
import type {ScheduledGeneration} from './scheduledGeneration.js';
import {WaitingQueue} from './waitingQueue.js';

export interface SchedulerPorts {
  readonly clock: Clock;
  /** Runs one admitted generation at the engine until it ends. */
  readonly run: (generation: Generation, priority: number) => Promise<void>;
  /** Logs a scheduling decision about a request. */
  readonly logDecision: (requestId: string, what: string) => void;
}

/** A pass over the queue ends at this many generations that do not fit. */
const MAX_BYPASSED_PER_PASS = 8;

/** A generation that has waited this many ageing steps is not bypassed. */
const MAX_BYPASS_AGEING_STEPS = 3;

/** Interval at which a non-empty queue is rechecked. */
const RECHECK_INTERVAL_MS = 10;

/** A short request waits this long before it may preempt others. */
const PREEMPT_AFTER_MS = 300;

/** Share of the engine's memory that short requests may hold by preemption. */
const PREEMPT_MEMORY_SHARE = 0.25;

/** Assumed until the engine has reported its capacity. */
const DEFAULT_CAPACITY: EngineCapacity = {memoryTokens: 16_384, maxBatch: 16};

/**
 * Decides which waiting generation is sent to the engine, and when. No one else
 * sends work to the engine, so the scheduler knows the memory in use exactly;
 * only the remaining output of running generations is estimated.
 */
export class EngineScheduler {
  private readonly waiting: WaitingQueue;
  private readonly running: RunningGenerations;
  private readonly estimator = new LengthEstimator();
  private readonly organisationUse: OrganisationUse;
  private readonly pacer = new PromptPacer();
  private capacity = DEFAULT_CAPACITY;
  private pendingRecheck: CancelTimer | undefined;
  /** Called when the load has changed. */
  onChange: () => void = () => {};

  constructor(
    private readonly ports: SchedulerPorts,
    private policy: PolicySettings,
  ) {
    this.organisationUse = new OrganisationUse(ports.clock);
    this.waiting = new WaitingQueue(ports.clock, this.organisationUse);
    this.running = new RunningGenerations(ports.clock);
  }

  get openCount(): number {
    return this.waiting.size + this.running.size;
  }

  setPolicy(policy: PolicySettings): void {
    this.policy = policy;
  }

  setCapacity(capacity: EngineCapacity): void {
    this.capacity = capacity;
  }

  /** Queues a generation, or returns why it is refused. */
  submit(generation: Generation): Failure | undefined {
    const item = toScheduled(generation, this.estimator);
    const refusal = this.refuseOnSubmit(item);
    if (refusal !== undefined) return refusal;
    this.waiting.add(item);
    this.ports.logDecision(generation.request.requestId, 'queued');
    this.admitWaiting();
    this.onChange();
    return undefined;
  }

  /** Removes a generation from the queue; false if it was not queued. */
  dequeue(generation: Generation): boolean {
    if (!this.waiting.remove(generation)) return false;
    this.onChange();
    return true;
  }

  /** Updates the estimates with tokens that the engine just produced. */
  noteProgress(generation: Generation): void {
    const item = this.running.get(generation);
    if (item === undefined) return;
    const producedTokens = generation.producedTokens;
    this.running.recordTokenTime(item, producedTokens - item.countedTokens);
    item.lengthModel.advance(item.countedTokens, producedTokens);
    this.organisationUse.add(
      generation.request.organisationId,
      producedTokens - item.countedTokens,
    );
    item.countedTokens = producedTokens;
  }

  report(state: SidecarState): LoadReport {
    return {
      state,
      queued: this.waiting.size,
      running: this.running.size,
      backlogTokens: this.backlogTokens(),
      memoryShare: this.running.heldTokens() / this.capacity.memoryTokens,
      predictedWaitMs: this.waiting.shortRequestWaitMs(
        this.policy,
        this.running.size >= this.capacity.maxBatch,
      ),
      tokenMs: this.running.tokenMs,
      maxBatch: this.capacity.maxBatch,
    };
  }

  private refuseOnSubmit(item: ScheduledGeneration): Failure | undefined {
    const {promptTokens, priority, maxQueueMs} = item.generation.request;
    if (promptTokens + 1 > this.capacity.memoryTokens) {
      return notRun(
        FailureKind.TOO_LARGE,
        'the prompt is larger than the memory of an engine',
      );
    }
    if (this.waiting.size === 0) return undefined;
    const waitMs = this.waiting.predictedWaitMs(
      this.policy,
      item.expectedTokens,
      priority,
    );
    if (waitMs <= maxQueueMs) return undefined;
    return notRun(
      FailureKind.OVERLOADED,
      'the queue is longer than this request may wait',
      Math.ceil(waitMs - maxQueueMs),
    );
  }

  /** Expires what has waited too long, then admits in order what fits. */
  private admitWaiting(): void {
    this.expireWaiting();
    if (this.waiting.size === 0) return;
    const claims = this.running.claims();
    const isPreempting = this.running.hasPreempted();
    let bypassed = 0;
    for (const item of this.waiting.sorted(this.policy)) {
      const decision = this.decide(item, claims, isPreempting);
      if (decision.outcome === 'admit') {
        if (this.mustDelayPrompt(item)) break;
        this.admit(item);
        claims.push(toClaim(item));
        continue;
      }
      if (!this.mayBeBypassed(item)) break;
      if (++bypassed >= MAX_BYPASSED_PER_PASS) break;
    }
    this.scheduleRecheck();
  }

  private decide(
    item: ScheduledGeneration,
    claims: readonly MemoryClaim[],
    isPreempting: boolean,
  ): AdmissionDecision {
    const rule = toAdmissionRule(this.policy);
    if (rule.kind === 'expected' && isPreempting && !isShort(item)) {
      return {outcome: 'wait', reason: 'memory'};
    }
    const capacity =
      rule.kind === 'expected'
        ? usableCapacity(this.capacity, item.expectedOutputTokens)
        : this.capacity;
    const decision = decideAdmission(rule, capacity, claims, toClaim(item));
    const isRefused = decision.outcome === 'wait';
    return isRefused && this.mayPreempt(item) ? {outcome: 'admit'} : decision;
  }

  /**
   * True for a short request that has waited long enough to preempt a long
   * generation. The engine itself preempts, since short requests have the
   * better priority there. The memory that short requests hold together is
   * bounded.
   */
  private mayPreempt(item: ScheduledGeneration): boolean {
    if (this.policy.admission !== 'expected') return false;
    if (!isShort(item)) return false;
    if (this.running.size >= this.capacity.maxBatch) return false;
    const waitedMs = this.ports.clock.nowMs() - item.generation.arrivedMs;
    if (waitedMs < PREEMPT_AFTER_MS) return false;
    let shortHeldTokens = item.expectedTokens;
    for (const other of this.running.items) {
      if (!isShort(other)) continue;
      shortHeldTokens += toClaim(other).heldTokens;
    }
    return shortHeldTokens <= PREEMPT_MEMORY_SHARE * this.capacity.memoryTokens;
  }

  private mustDelayPrompt(item: ScheduledGeneration): boolean {
    if (this.policy.admission === 'free' || this.running.size === 0) {
      return false;
    }
    const {promptTokens} = item.generation.request;
    const nowMs = this.ports.clock.nowMs();
    return !this.pacer.mayAdmit(nowMs, this.running.tokenMs, promptTokens);
  }

  private mayBeBypassed(item: ScheduledGeneration): boolean {
    if (this.policy.queue === 'firstInFirstOut') return false;
    const waitedMs = this.ports.clock.nowMs() - item.generation.arrivedMs;
    return waitedMs < MAX_BYPASS_AGEING_STEPS * this.policy.ageingMs;
  }

  private admit(item: ScheduledGeneration): void {
    const {generation} = item;
    this.waiting.remove(generation);
    this.running.add(item);
    const nowMs = this.ports.clock.nowMs();
    this.pacer.noteAdmitted(generation.request.promptTokens);
    this.waiting.noteAdmitted(nowMs, item.expectedTokens);
    this.ports.logDecision(
      generation.request.requestId,
      `admitted after ${Math.round(nowMs - generation.arrivedMs)} ms`,
    );
    void this.ports
      .run(generation, enginePriority(this.policy, item))
      .finally(() => this.ended(item));
  }

  private ended(item: ScheduledGeneration): void {
    const {generation} = item;
    this.running.delete(generation);
    const producedTokens = generation.producedTokens;
    if (!generation.abort.signal.aborted) item.lengthModel.end(producedTokens);
    this.admitWaiting();
    this.onChange();
  }

  private expireWaiting(): void {
    const nowMs = this.ports.clock.nowMs();
    for (const item of [...this.waiting.items]) {
      const {maxQueueMs} = item.generation.request;
      if (nowMs - item.generation.arrivedMs < maxQueueMs) continue;
      this.dequeue(item.generation);
      const failure = notRun(
        FailureKind.OVERLOADED,
        'the request waited as long as it may',
        Math.ceil(
          this.waiting.predictedWaitMs(this.policy, item.expectedTokens, 5),
        ),
      );
      item.generation.finish({kind: 'failed', failure});
    }
  }

  private scheduleRecheck(): void {
    if (this.pendingRecheck !== undefined || this.waiting.size === 0) return;
    this.pendingRecheck = this.ports.clock.after(RECHECK_INTERVAL_MS, () => {
      this.pendingRecheck = undefined;
      this.admitWaiting();
    });
  }

  private backlogTokens(): number {
    let sum = 0;
    for (const item of this.waiting.items) sum += item.expectedTokens;
    for (const {generation, lengthModel} of this.running.items) {
      const {maxTokens} = generation.request;
      sum += lengthModel.expectedRemaining(
        generation.producedTokens,
        maxTokens,
      );
    }
    return sum;
  }
}
