import type {PolicySettings} from '@lilacledge/config';
import type {LoadReport} from '@lilacledge/protocol';
import type {SidecarState} from '@lilacledge/protocol';
import {
  decideAdmission,
  LengthEstimator,
  queueKey,
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
import {toAdmissionRule, toQueueRule} from './policyRules.js';
import {PromptPacer} from './promptPacer.js';
import {RateEstimate} from './rateEstimate.js';
import {enginePriority, isShort, toClaim} from './scheduledGeneration.js';
import type {ScheduledGeneration} from './scheduledGeneration.js';

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

/**
 * A running generation counts as preempted by the engine when it has produced
 * no token for this many mean token times, and at least for the minimum gap.
 */
const PREEMPTION_GAP_TOKEN_TIMES = 12;
const MIN_PREEMPTION_GAP_MS = 300;

/** Assumed size of a short request, for the reported wait. */
const SHORT_REQUEST_TOKENS = 128;

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
  private readonly waiting: ScheduledGeneration[] = [];
  private readonly running = new Map<Generation, ScheduledGeneration>();
  private readonly estimator = new LengthEstimator();
  private readonly organisationUse: OrganisationUse;
  private readonly admissionRate: RateEstimate;
  private readonly tokenTime = new RateEstimate(256);
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
    this.admissionRate = new RateEstimate(48);
  }

  get openCount(): number {
    return this.waiting.length + this.running.size;
  }

  setPolicy(policy: PolicySettings): void {
    this.policy = policy;
  }

  setCapacity(capacity: EngineCapacity): void {
    this.capacity = capacity;
  }

  /** Queues a generation, or returns why it is refused. */
  submit(generation: Generation): Failure | undefined {
    const item = this.toScheduled(generation);
    const refusal = this.refuseOnSubmit(item);
    if (refusal !== undefined) return refusal;
    this.waiting.push(item);
    this.ports.logDecision(generation.request.requestId, 'queued');
    this.admitWaiting();
    this.onChange();
    return undefined;
  }

  /** Removes a generation from the queue; false if it was not queued. */
  dequeue(generation: Generation): boolean {
    const index = this.waiting.findIndex(
      (item) => item.generation === generation,
    );
    if (index < 0) return false;
    this.waiting.splice(index, 1);
    this.onChange();
    return true;
  }

  /** Updates the estimates with tokens that the engine just produced. */
  noteProgress(generation: Generation): void {
    const item = this.running.get(generation);
    if (item === undefined) return;
    const producedTokens = generation.producedTokens;
    this.recordTokenTime(item, producedTokens - item.countedTokens);
    item.lengthModel.advance(item.countedTokens, producedTokens);
    this.organisationUse.add(
      generation.request.organisationId,
      producedTokens - item.countedTokens,
    );
    item.countedTokens = producedTokens;
  }

  /** Measures the time per token at this engine by the gaps within a stream. */
  private recordTokenTime(item: ScheduledGeneration, tokens: number): void {
    const nowMs = this.ports.clock.nowMs();
    if (item.lastAtMs > 0) this.tokenTime.add((nowMs - item.lastAtMs) / tokens);
    item.lastAtMs = nowMs;
  }

  report(state: SidecarState): LoadReport {
    const held = this.claims().reduce(
      (sum, claim) => sum + claim.heldTokens,
      0,
    );
    return {
      state,
      queued: this.waiting.length,
      running: this.running.size,
      backlogTokens: this.backlogTokens(),
      memoryShare: held / this.capacity.memoryTokens,
      predictedWaitMs: this.shortRequestWaitMs(),
      tokenMs: this.tokenTime.mean ?? 0,
      maxBatch: this.capacity.maxBatch,
    };
  }

  private toScheduled(generation: Generation): ScheduledGeneration {
    const {organisationId, promptTokens, maxTokens} = generation.request;
    const lengthModel = this.estimator.modelFor(organisationId, maxTokens);
    const expectedOutputTokens = lengthModel.expectedRemaining(0, maxTokens);
    return {
      generation,
      lengthModel,
      expectedOutputTokens,
      expectedTokens: promptTokens + expectedOutputTokens,
      lastAtMs: 0,
      countedTokens: 0,
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
    if (this.waiting.length === 0) return undefined;
    const waitMs = this.predictedWaitMs(item.expectedTokens, priority);
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
    if (this.waiting.length === 0) return;
    const claims = this.claims();
    const isPreempting = this.hasPreempted();
    let bypassed = 0;
    for (const item of this.sortWaiting()) {
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

  /**
   * True while the engine has preempted a generation that had already produced
   * tokens. To resume, it needs much memory at once; admitting new generations
   * would use that memory up piece by piece.
   */
  private hasPreempted(): boolean {
    const tokenMs = this.tokenTime.mean ?? 0;
    const gapMs = Math.max(
      MIN_PREEMPTION_GAP_MS,
      PREEMPTION_GAP_TOKEN_TIMES * tokenMs,
    );
    const sinceMs = this.ports.clock.nowMs() - gapMs;
    for (const {lastAtMs} of this.running.values()) {
      if (lastAtMs > 0 && lastAtMs < sinceMs) return true;
    }
    return false;
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
    for (const other of this.running.values()) {
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
    const tokenMs = this.tokenTime.mean ?? 0;
    return !this.pacer.mayAdmit(nowMs, tokenMs, promptTokens);
  }

  private sortWaiting(): ScheduledGeneration[] {
    const nowMs = this.ports.clock.nowMs();
    const rule = toQueueRule(this.policy);
    const keyed = this.waiting.map((item) => ({
      item,
      key: queueKey(rule, this.toWaiting(item), nowMs),
    }));
    keyed.sort((a, b) => a.key - b.key);
    return keyed.map(({item}) => item);
  }

  private toWaiting(item: ScheduledGeneration): Parameters<typeof queueKey>[1] {
    const {organisationId, priority} = item.generation.request;
    return {
      arrivedMs: item.generation.arrivedMs,
      priority,
      expectedTokens: item.expectedTokens,
      organisationUse: this.organisationUse.relativeUse(organisationId),
    };
  }

  private mayBeBypassed(item: ScheduledGeneration): boolean {
    if (this.policy.queue === 'firstInFirstOut') return false;
    const waitedMs = this.ports.clock.nowMs() - item.generation.arrivedMs;
    return waitedMs < MAX_BYPASS_AGEING_STEPS * this.policy.ageingMs;
  }

  private admit(item: ScheduledGeneration): void {
    const {generation} = item;
    this.waiting.splice(this.waiting.indexOf(item), 1);
    this.running.set(generation, item);
    const nowMs = this.ports.clock.nowMs();
    this.pacer.noteAdmitted(generation.request.promptTokens);
    this.admissionRate.addAmount(nowMs, item.expectedTokens);
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
    for (const item of [...this.waiting]) {
      const {maxQueueMs} = item.generation.request;
      if (nowMs - item.generation.arrivedMs < maxQueueMs) continue;
      this.dequeue(item.generation);
      const failure = notRun(
        FailureKind.OVERLOADED,
        'the request waited as long as it may',
        Math.ceil(this.predictedWaitMs(item.expectedTokens, 5)),
      );
      item.generation.finish({kind: 'failed', failure});
    }
  }

  private scheduleRecheck(): void {
    if (this.pendingRecheck !== undefined || this.waiting.length === 0) return;
    this.pendingRecheck = this.ports.clock.after(RECHECK_INTERVAL_MS, () => {
      this.pendingRecheck = undefined;
      this.admitWaiting();
    });
  }

  private predictedWaitMs(expectedTokens: number, priority: number): number {
    const rate = this.admissionRate.perMs;
    if (rate === undefined) return 0;
    const rule = toQueueRule(this.policy);
    const nowMs = this.ports.clock.nowMs();
    const ownKey = queueKey(
      rule,
      {arrivedMs: nowMs, priority, expectedTokens, organisationUse: 1},
      nowMs,
    );
    let tokensAhead = expectedTokens;
    for (const item of this.waiting) {
      if (queueKey(rule, this.toWaiting(item), nowMs) > ownKey) continue;
      tokensAhead += item.expectedTokens;
    }
    return tokensAhead / rate;
  }

  /**
   * Expected wait of a new short request; zero while nothing waits and the
   * engine's batch is not full. It is at least the wait of the oldest queued
   * short request: when nothing was admitted for a while, the past rate is too
   * optimistic.
   */
  private shortRequestWaitMs(): number {
    const isFull =
      this.running.size >= this.capacity.maxBatch || this.waiting.length > 0;
    if (!isFull) return 0;
    const rateBasedWaitMs = this.predictedWaitMs(SHORT_REQUEST_TOKENS, 5);
    const oldestArrivalMs = Math.min(
      ...this.waiting.filter(isShort).map((item) => item.generation.arrivedMs),
    );
    return Math.max(
      rateBasedWaitMs,
      this.ports.clock.nowMs() - oldestArrivalMs,
    );
  }

  private backlogTokens(): number {
    let sum = 0;
    for (const item of this.waiting) sum += item.expectedTokens;
    for (const {generation, lengthModel} of this.running.values()) {
      const {maxTokens} = generation.request;
      sum += lengthModel.expectedRemaining(
        generation.producedTokens,
        maxTokens,
      );
    }
    return sum;
  }

  private claims(): MemoryClaim[] {
    return [...this.running.values()].map(toClaim);
  }
}
