import type {CancelTimer, Clock} from '@lilacledge/shared';
import type {EngineConstants} from './engineConstants.js';
import {outputLength} from './outputLength.js';
import {PrefixCache} from './prefixCache.js';

/** A generation request as the engine receives it. */
export interface EngineJobRequest {
  readonly id: string;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** From 0 (served first) to 9 (served last). */
  readonly priority: number;
}

/** Receives the output of one generation. */
export interface EngineSink {
  onToken(text: string): void;
  onDone(finishReason: string): void;
  onBroken(detail: string): void;
}

/** Totals of an engine since its start, for test checks and measurements. */
export interface EngineCounters {
  started: number;
  completed: number;
  preemptions: number;
  recomputedTokens: number;
  producedTokens: number;
}

export interface EngineLoadReport {
  readonly memoryTokens: number;
  readonly usedTokens: number;
  readonly maxBatch: number;
  readonly running: number;
  readonly waiting: number;
  readonly preemptions: number;
}

interface Job {
  readonly request: EngineJobRequest;
  readonly sink: EngineSink;
  /** Position in the order of arrival. */
  readonly arrival: number;
  readonly length: number;
  producedTokens: number;
  /** Tokens still to be prefilled before the next output token. */
  prefillTokensLeft: number;
}

/**
 * Model of an engine on a virtual or real clock. It batches continuously and
 * holds prompts and outputs in a bounded token memory. When that memory is
 * full, it preempts the last-arrived generation of the lowest priority and
 * recomputes its tokens later.
 */
export class EngineModel {
  readonly counters: EngineCounters = {
    started: 0,
    completed: 0,
    preemptions: 0,
    recomputedTokens: 0,
    producedTokens: 0,
  };
  /** All submitted requests, including those that a crashed engine refused. */
  attemptCount = 0;
  /** Prompts of all accepted generations, by request id. */
  readonly prompts = new Map<string, string>();
  /**
   * Multiplies the duration of each step: 4 is a quarter of the normal speed.
   */
  slowFactor = 1;
  /** A frozen engine keeps its requests but produces no tokens. */
  isFrozen = false;
  private waiting: Job[] = [];
  private running: Job[] = [];
  private readonly prefixCache: PrefixCache;
  private cancelStep: CancelTimer | undefined;
  private arrivalCount = 0;
  private isCrashed = false;
  private readonly history: Array<{atMs: number; load: EngineLoadReport}> = [];

  constructor(
    private readonly clock: Clock,
    private readonly constants: EngineConstants,
  ) {
    this.prefixCache = new PrefixCache(constants.cacheTokens);
  }

  /** Queues a generation and returns a function that cancels it. */
  submit(request: EngineJobRequest, sink: EngineSink): () => void {
    const job: Job = {
      request,
      sink,
      arrival: this.arrivalCount++,
      length: Math.min(outputLength(request.prompt), request.maxTokens),
      producedTokens: 0,
      prefillTokensLeft: 0,
    };
    this.attemptCount++;
    if (this.isCrashed) {
      sink.onBroken('the engine has crashed and was not restarted');
      return () => {};
    }
    this.counters.started++;
    this.prompts.set(request.id, request.prompt);
    this.waiting.push(job);
    this.schedule();
    return () => this.remove(job);
  }

  /**
   * Returns the load as it was `loadLagMs` ago, as a delayed load report does.
   */
  report(): EngineLoadReport {
    const untilMs = this.clock.nowMs() - this.constants.loadLagMs;
    const old = this.history.findLast((entry) => entry.atMs <= untilMs);
    return old?.load ?? this.history[0]?.load ?? this.currentLoad();
  }

  /**
   * Fails all generations and refuses new ones until `restart`, as a killed
   * process does.
   */
  crash(): void {
    this.isCrashed = true;
    const jobs = [...this.running, ...this.waiting];
    this.running = [];
    this.waiting = [];
    for (const job of jobs) job.sink.onBroken('the engine crashed');
  }

  restart(): void {
    this.isCrashed = false;
  }

  private remove(job: Job): void {
    this.waiting = this.waiting.filter((other) => other !== job);
    this.running = this.running.filter((other) => other !== job);
  }

  private schedule(): void {
    if (this.cancelStep !== undefined) return;
    if (this.waiting.length + this.running.length === 0) return;
    this.admit();
    const read = this.prefillPrompts();
    const {stepBaseMs, stepPerSequenceMs, promptTokensPerMs} = this.constants;
    const stepMs =
      stepBaseMs +
      stepPerSequenceMs * this.running.length +
      read / promptTokensPerMs;
    this.cancelStep = this.clock.after(stepMs * this.slowFactor, () => {
      this.cancelStep = undefined;
      if (!this.isFrozen) this.produce();
      this.recordLoad();
      this.schedule();
    });
  }

  private admit(): void {
    this.waiting.sort(byPriority);
    while (this.waiting.length > 0) {
      const job = this.waiting[0]!;
      const neededTokens = job.request.promptTokens + job.producedTokens + 1;
      const isFull =
        this.running.length >= this.constants.maxBatch ||
        this.usedTokens() + neededTokens > this.constants.memoryTokens;
      if (isFull && this.running.length > 0) return;
      this.waiting.shift();
      const cached = Math.min(
        this.prefixCache.countHitsAndAdd(job.request.prompt),
        job.request.promptTokens,
      );
      job.prefillTokensLeft =
        job.request.promptTokens - cached + job.producedTokens;
      this.counters.recomputedTokens += job.producedTokens;
      this.running.push(job);
    }
  }

  /**
   * Prefills running generations in batch order, up to the chunk limit of one
   * step; returns the tokens prefilled.
   */
  private prefillPrompts(): number {
    let budget = this.constants.promptChunkTokens;
    for (const job of this.running) {
      const read = Math.min(job.prefillTokensLeft, budget);
      job.prefillTokensLeft -= read;
      budget -= read;
    }
    return this.constants.promptChunkTokens - budget;
  }

  private produce(): void {
    for (const job of [...this.running]) {
      if (job.prefillTokensLeft > 0 || !this.running.includes(job)) continue;
      if (!this.preemptUntilRoom(job)) continue;
      this.emitToken(job);
    }
  }

  /**
   * Preempts generations until one more token fits; false if `job` itself was
   * preempted or ended.
   */
  private preemptUntilRoom(job: Job): boolean {
    while (this.usedTokens() + 1 > this.constants.memoryTokens) {
      if (this.running.length === 1) {
        this.finish(job, 'length');
        return false;
      }
      const victim = [...this.running].sort(byPriority).at(-1)!;
      this.running = this.running.filter((other) => other !== victim);
      this.waiting.unshift(victim);
      this.counters.preemptions++;
      if (victim === job) return false;
    }
    return true;
  }

  private emitToken(job: Job): void {
    const text = ` ${job.request.id}#${job.producedTokens}`;
    job.producedTokens++;
    this.counters.producedTokens++;
    job.sink.onToken(text);
    if (job.producedTokens < job.length) return;
    const isTruncated = job.length >= job.request.maxTokens;
    this.finish(job, isTruncated ? 'length' : 'stop');
  }

  private finish(job: Job, reason: string): void {
    this.remove(job);
    this.counters.completed++;
    job.sink.onDone(reason);
  }

  private usedTokens(): number {
    let used = 0;
    for (const job of this.running) {
      used += job.request.promptTokens + job.producedTokens;
    }
    return used;
  }

  private recordLoad(): void {
    const atMs = this.clock.nowMs();
    this.history.push({atMs, load: this.currentLoad()});
    const keepMs = 4 * this.constants.loadLagMs;
    while (this.history[0]!.atMs < atMs - keepMs) this.history.shift();
  }

  private currentLoad(): EngineLoadReport {
    return {
      memoryTokens: this.constants.memoryTokens,
      usedTokens: this.usedTokens(),
      maxBatch: this.constants.maxBatch,
      running: this.running.length,
      waiting: this.waiting.length,
      preemptions: this.counters.preemptions,
    };
  }
}

function byPriority(a: Job, b: Job): number {
  return a.request.priority - b.request.priority || a.arrival - b.arrival;
}
