import type {VirtualClock} from '@lilacledge/shared';
import type {EngineReport, EngineTraits} from '../model/index.js';
import type {EngineLoadReport} from '../peers/engineMessages.js';
import {EngineCommitments} from '../sidecar/engineCommitments.js';

export const ENGINE_TRAITS: EngineTraits = {
  slots: 24,
  memoryTokens: 26_996,
  bytesPerToken: 18_432,
  linkMbps: 2_700,
  canMove: true,
  canBackUp: true,
  tokensPerEvent: 4,
};

/** Median prefill speed, and the time of an output token, as measured under load. */
const PROMPT_TOKENS_PER_MS = 7;
const OUTPUT_TOKEN_MS = 6;

/** Priority of a request without one. */
const DEFAULT_PRIORITY = 5;

/** A generation at a simulated engine. */
export interface SimulatedRun {
  readonly requestId: string;
  readonly promptTokens: number;
  readonly enginePriority: number | undefined;
  readonly outputTokens: number;
  onFirstEvent(): void;
  onEnd(): void;
}

interface ActiveRun {
  readonly run: SimulatedRun;
  /** When its first event was produced; undefined during prefill. */
  firstEventAtMs: number | undefined;
}

/**
 * An engine and its sidecar. The engine prefills one prompt at a time, begins none that lacks
 * memory, and takes the first prompt by priority and arrival.
 */
export class SimulatedEngine {
  private readonly sent = new Map<string, SimulatedRun>();
  readonly commitments: EngineCommitments;
  private queue: SimulatedRun[] = [];
  private active: ActiveRun[] = [];
  private report: EngineReport;

  constructor(
    readonly id: string,
    private readonly clock: VirtualClock,
    /** False for an engine that ignores priorities. */
    private readonly isOrdered: boolean,
  ) {
    this.commitments = new EngineCommitments(clock, this.sent);
    this.report = this.currentReport();
  }

  submit(run: SimulatedRun): void {
    if (run.enginePriority !== undefined) this.commitments.noteOrdered();
    this.commitments.release(run.requestId);
    this.sent.set(run.requestId, run);
    this.queue.push(run);
    if (this.isOrdered) {
      this.queue.sort((a, b) => priorityOf(a) - priorityOf(b));
    }
    this.beginNext();
  }

  /** The sidecar reads the engine's report. */
  poll(): void {
    this.report = this.currentReport();
  }

  load(): EngineLoadReport {
    return this.commitments.load(this.report);
  }

  readonly loadForQuery = (): EngineLoadReport =>
    this.commitments.loadForQuery(this.report);

  private beginNext(): void {
    const [next] = this.queue;
    if (next === undefined || this.active.some(isInPrefill)) return;
    const {memoryTokens, slots} = ENGINE_TRAITS;
    const isFull =
      this.active.length >= slots ||
      this.usedTokens + next.promptTokens > memoryTokens;
    if (isFull) return;
    this.queue.shift();
    const active: ActiveRun = {run: next, firstEventAtMs: undefined};
    this.active.push(active);
    const {clock} = this;
    clock.after(next.promptTokens / PROMPT_TOKENS_PER_MS, () => {
      active.firstEventAtMs = clock.nowMs();
      next.onFirstEvent();
      clock.after(next.outputTokens * OUTPUT_TOKEN_MS, () => this.end(active));
      this.beginNext();
    });
  }

  private end(ended: ActiveRun): void {
    this.active = this.active.filter((active) => active !== ended);
    this.sent.delete(ended.run.requestId);
    ended.run.onEnd();
    this.beginNext();
  }

  private get usedTokens(): number {
    return this.active.reduce((sum, item) => sum + this.memoryOf(item), 0);
  }

  private memoryOf({run, firstEventAtMs}: ActiveRun): number {
    if (firstEventAtMs === undefined) return run.promptTokens;
    const producedMs = this.clock.nowMs() - firstEventAtMs;
    return run.promptTokens + producedMs / OUTPUT_TOKEN_MS;
  }

  private currentReport(): EngineReport {
    return {
      queued: this.queue.length,
      active: this.active.length,
      memoryUsedTokens: Math.round(this.usedTokens),
      memoryTokens: ENGINE_TRAITS.memoryTokens,
      runs: this.active
        .filter((active) => !isInPrefill(active))
        .map((active) => ({
          requestId: active.run.requestId,
          memoryTokens: Math.round(this.memoryOf(active)),
          eventsMade: 1,
        })),
    };
  }
}

function isInPrefill({firstEventAtMs}: ActiveRun): boolean {
  return firstEventAtMs === undefined;
}

function priorityOf({enginePriority}: SimulatedRun): number {
  return enginePriority ?? DEFAULT_PRIORITY;
}
