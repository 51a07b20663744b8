import type {PolicySettings} from '@lilacledge/config';
import type {LoadReport} from '@lilacledge/protocol';
import type {SidecarState} from '@lilacledge/protocol';
import {
  decideAdmission,
  LengthEstimator,
  urgency,
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
import {enginePriority, isShort, toClaim} from './scheduled.js';
import type {Scheduled} from './scheduled.js';

export interface SchedulerPorts {
  readonly clock: Clock;
  /** Runs one admitted generation to its end at the engine. */
  readonly run: (generation: Generation, priority: number) => Promise<void>;
  /** Notes a decision about a request, for `explain`. */
  readonly note: (requestId: string, what: string) => void;
}

/** Waiting generations tried behind one that does not fit. */
const MAX_BYPASSED = 8;

/** A waiting generation is passed by no other after this many ageing steps. */
const BYPASS_AGEING_STEPS = 3;

/** The queue is looked at again at this interval while it holds anything. */
const RECHECK_MS = 10;

/** A generation without a token for so many usual gaps was pushed aside. */
const PUSHED_ASIDE_PACES = 12;
const PUSHED_ASIDE_MIN_MS = 300;

/** Length of a short answer, for the reported wait. */
const SHORT_TOKENS = 128;

/** A short request waits this long before others are pushed aside for it. */
const DISPLACE_AFTER_MS = 300;

/** Share of the memory that short requests may take in this way. */
const DISPLACE_SHARE = 0.25;

/** Stands for the engine until it has said how large it is. */
const UNKNOWN_CAPACITY: EngineCapacity = {memoryTokens: 16_384, maxBatch: 16};

/**
 * Decides which waiting generation is handed to the engine, and when. It is
 * the engine's only giver of work, so its own account of the memory is exact
 * up to what the running generations will still produce.
 */
export class EngineScheduler {
  private readonly waiting: Scheduled[] = [];
  private readonly running = new Map<Generation, Scheduled>();
  private readonly estimator = new LengthEstimator();
  private readonly use: OrganisationUse;
  private readonly admitted: RateEstimate;
  private readonly tokenTime = new RateEstimate(256);
  private readonly pacer = new PromptPacer();
  private capacity = UNKNOWN_CAPACITY;
  private recheck: CancelTimer | undefined;
  /** Called when the load has changed. */
  onChange: () => void = () => {};

  constructor(
    private readonly ports: SchedulerPorts,
    private policy: PolicySettings,
  ) {
    this.use = new OrganisationUse(ports.clock);
    this.admitted = new RateEstimate(48);
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

  /** Queues a generation, or says at once why it cannot be served. */
  submit(generation: Generation): Failure | undefined {
    const item = this.toScheduled(generation);
    const refusal = this.refuseEarly(item);
    if (refusal !== undefined) return refusal;
    this.waiting.push(item);
    this.ports.note(generation.request.requestId, 'queued');
    this.pump();
    this.onChange();
    return undefined;
  }

  /** Takes a waiting generation out; false when it is not waiting. */
  withdraw(generation: Generation): boolean {
    const index = this.waiting.findIndex(
      (item) => item.generation === generation,
    );
    if (index < 0) return false;
    this.waiting.splice(index, 1);
    this.onChange();
    return true;
  }

  /** Counts the tokens that the engine has just produced. */
  progress(generation: Generation): void {
    const item = this.running.get(generation);
    if (item === undefined) return;
    const produced = generation.produced;
    this.measurePace(item, produced - item.counted);
    item.lengths.advance(item.counted, produced);
    this.use.add(generation.request.organisationId, produced - item.counted);
    item.counted = produced;
  }

  /** Time of one token at this engine, from gaps within streams. */
  private measurePace(item: Scheduled, tokens: number): void {
    const nowMs = this.ports.clock.nowMs();
    if (item.heardMs > 0) this.tokenTime.add((nowMs - item.heardMs) / tokens);
    item.heardMs = nowMs;
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
      predictedWaitMs: this.shortWaitMs(),
      tokenMs: this.tokenTime.mean ?? 0,
      maxBatch: this.capacity.maxBatch,
    };
  }

  private toScheduled(generation: Generation): Scheduled {
    const {organisationId, promptTokens, maxTokens} = generation.request;
    const lengths = this.estimator.modelFor(organisationId, maxTokens);
    const expectedOutput = lengths.expectedFurther(0, maxTokens);
    return {
      generation,
      lengths,
      expectedOutput,
      expectedTokens: promptTokens + expectedOutput,
      heardMs: 0,
      counted: 0,
    };
  }

  private refuseEarly(item: Scheduled): Failure | undefined {
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

  /** Hands over what fits, in order, and lets go of what has waited too long. */
  private pump(): void {
    this.expire();
    if (this.waiting.length === 0) return;
    const claims = this.claims();
    const isHeldBack = this.hasPushedAside();
    let bypassed = 0;
    for (const item of this.ordered()) {
      const decision = this.decide(item, claims, isHeldBack);
      if (decision.outcome === 'admit') {
        if (this.isPaced(item)) break;
        this.start(item);
        claims.push(toClaim(item));
        continue;
      }
      if (!this.mayBypass(item)) break;
      if (++bypassed >= MAX_BYPASSED) break;
    }
    this.scheduleRecheck();
  }

  /**
   * True while the engine holds a generation back that had begun: it needs a
   * large piece of memory at once, which newcomers would take bit by bit.
   */
  private hasPushedAside(): boolean {
    const paceMs = this.tokenTime.mean ?? 0;
    const limitMs = Math.max(PUSHED_ASIDE_MIN_MS, PUSHED_ASIDE_PACES * paceMs);
    const sinceMs = this.ports.clock.nowMs() - limitMs;
    for (const {heardMs} of this.running.values()) {
      if (heardMs > 0 && heardMs < sinceMs) return true;
    }
    return false;
  }

  private decide(
    item: Scheduled,
    claims: readonly MemoryClaim[],
    isHeldBack: boolean,
  ): AdmissionDecision {
    const rule = toAdmissionRule(this.policy);
    if (rule.kind === 'expected' && isHeldBack && !isShort(item)) {
      return {outcome: 'wait', reason: 'memory'};
    }
    const capacity =
      rule.kind === 'expected'
        ? usableCapacity(this.capacity, item.expectedOutput)
        : this.capacity;
    const decision = decideAdmission(rule, capacity, claims, toClaim(item));
    const isRefused = decision.outcome === 'wait';
    return isRefused && this.mayDisplace(item) ? {outcome: 'admit'} : decision;
  }

  /**
   * True for a short request that has waited long enough to be worth pushing a
   * long generation aside. The engine does that by itself, for short requests
   * have the better priority there; short ones together take a bounded share.
   */
  private mayDisplace(item: Scheduled): boolean {
    if (this.policy.admission !== 'expected') return false;
    if (!isShort(item)) return false;
    if (this.running.size >= this.capacity.maxBatch) return false;
    const waitedMs = this.ports.clock.nowMs() - item.generation.arrivedMs;
    if (waitedMs < DISPLACE_AFTER_MS) return false;
    let heldByShort = item.expectedTokens;
    for (const other of this.running.values()) {
      if (!isShort(other)) continue;
      heldByShort += toClaim(other).heldTokens;
    }
    return heldByShort <= DISPLACE_SHARE * this.capacity.memoryTokens;
  }

  private isPaced(item: Scheduled): boolean {
    if (this.policy.admission === 'free' || this.running.size === 0) {
      return false;
    }
    const {promptTokens} = item.generation.request;
    const nowMs = this.ports.clock.nowMs();
    const tokenMs = this.tokenTime.mean ?? 0;
    return !this.pacer.mayAdmit(nowMs, tokenMs, promptTokens);
  }

  private ordered(): Scheduled[] {
    const nowMs = this.ports.clock.nowMs();
    const rule = toQueueRule(this.policy);
    const keyed = this.waiting.map((item) => ({
      item,
      key: urgency(rule, this.toWaiting(item), nowMs),
    }));
    keyed.sort((a, b) => a.key - b.key);
    return keyed.map(({item}) => item);
  }

  private toWaiting(item: Scheduled): Parameters<typeof urgency>[1] {
    const {organisationId, priority} = item.generation.request;
    return {
      arrivedMs: item.generation.arrivedMs,
      priority,
      expectedTokens: item.expectedTokens,
      organisationUse: this.use.relativeTo(organisationId),
    };
  }

  private mayBypass(item: Scheduled): boolean {
    if (this.policy.queue === 'firstInFirstOut') return false;
    const waitedMs = this.ports.clock.nowMs() - item.generation.arrivedMs;
    return waitedMs < BYPASS_AGEING_STEPS * this.policy.ageingMs;
  }

  private start(item: Scheduled): void {
    const {generation} = item;
    this.waiting.splice(this.waiting.indexOf(item), 1);
    this.running.set(generation, item);
    const nowMs = this.ports.clock.nowMs();
    this.pacer.note(generation.request.promptTokens);
    this.admitted.addInterval(nowMs, item.expectedTokens);
    this.ports.note(
      generation.request.requestId,
      `admitted after ${Math.round(nowMs - generation.arrivedMs)} ms`,
    );
    void this.ports
      .run(generation, enginePriority(this.policy, item))
      .finally(() => this.ended(item));
  }

  private ended(item: Scheduled): void {
    const {generation} = item;
    this.running.delete(generation);
    const produced = generation.produced;
    if (!generation.abort.signal.aborted) item.lengths.end(produced);
    this.pump();
    this.onChange();
  }

  private expire(): void {
    const nowMs = this.ports.clock.nowMs();
    for (const item of [...this.waiting]) {
      const {maxQueueMs} = item.generation.request;
      if (nowMs - item.generation.arrivedMs < maxQueueMs) continue;
      this.withdraw(item.generation);
      const failure = notRun(
        FailureKind.OVERLOADED,
        'the request waited as long as it may',
        Math.ceil(this.predictedWaitMs(item.expectedTokens, 5)),
      );
      item.generation.finish({kind: 'failed', failure});
    }
  }

  private scheduleRecheck(): void {
    if (this.recheck !== undefined || this.waiting.length === 0) return;
    this.recheck = this.ports.clock.after(RECHECK_MS, () => {
      this.recheck = undefined;
      this.pump();
    });
  }

  private predictedWaitMs(expectedTokens: number, priority: number): number {
    const rate = this.admitted.perMs;
    if (rate === undefined) return 0;
    const rule = toQueueRule(this.policy);
    const nowMs = this.ports.clock.nowMs();
    const own = urgency(
      rule,
      {arrivedMs: nowMs, priority, expectedTokens, organisationUse: 1},
      nowMs,
    );
    let ahead = expectedTokens;
    for (const item of this.waiting) {
      if (urgency(rule, this.toWaiting(item), nowMs) > own) continue;
      ahead += item.expectedTokens;
    }
    return ahead / rate;
  }

  /**
   * Wait of a new short request: none while the engine has room for it. An
   * engine that has admitted nothing for a while with work waiting will not do
   * so at once, whatever its past rate says.
   */
  private shortWaitMs(): number {
    const isFull =
      this.running.size >= this.capacity.maxBatch || this.waiting.length > 0;
    if (!isFull) return 0;
    const byRateMs = this.predictedWaitMs(SHORT_TOKENS, 5);
    const oldest = Math.min(
      ...this.waiting.filter(isShort).map((item) => item.generation.arrivedMs),
    );
    return Math.max(byRateMs, this.ports.clock.nowMs() - oldest);
  }

  private backlogTokens(): number {
    let sum = 0;
    for (const item of this.waiting) sum += item.expectedTokens;
    for (const {generation, lengths} of this.running.values()) {
      const {maxTokens} = generation.request;
      sum += lengths.expectedFurther(generation.produced, maxTokens);
    }
    return sum;
  }

  private claims(): MemoryClaim[] {
    return [...this.running.values()].map(toClaim);
  }
}
