import {isUrgentAtEngine} from '@lilacledge/policy';
import type {CancelTimer, Clock} from '@lilacledge/shared';
import type {EngineReport} from '../model/index.js';
import type {EngineLoadReport} from '../peers/engineMessages.js';

/**
 * How long the engine's memory stays reserved for an entry that queried the load. The entry
 * normally releases it much sooner, when it sends the prompt: a round trip takes 2 ms.
 */
const RESERVATION_TIMEOUT_MS = 50;

/** A prompt that was sent to the engine. */
export interface SentPrompt {
  readonly promptTokens: number;
  /** Priority at the engine, 0 first; undefined for the engine's default. */
  readonly enginePriority?: number;
}

/** Memory reserved for a prompt that an entry is about to send. */
interface PromptReservation {
  readonly tokens: number;
  readonly isUrgent: boolean;
  readonly cancelEnd: CancelTimer;
}

/** Prompt tokens that the engine has yet to prefill. */
interface PromptBacklog {
  readonly allTokens: number;
  /** Those that it prefills before a new urgent prompt. */
  readonly urgentTokens: number;
}

/**
 * Adds to an engine's own report the prompts that it has yet to prefill: those in its queue
 * occupy no memory yet, and those that entries are about to send are not even queued.
 *
 * Prevents a thundering herd: when an engine frees memory, every entry with waiting requests
 * learns of it at once, and without reservations all would send to an engine that reports no
 * backlog. The answer to a load query includes the reservations of earlier queries.
 */
export class EngineCommitments {
  private readonly reservations = new Map<string, PromptReservation>();
  private isOrdered = false;

  constructor(
    private readonly clock: Clock,
    /** Prompts that entries reported as sent to the engine, by request id. */
    private readonly sent: ReadonlyMap<string, SentPrompt>,
    /** The engine's steady time per output token, if it is to be reported. */
    private readonly outputTokenMs: () => number | undefined = () => undefined,
  ) {}

  /** Reserves memory for a prompt that an entry may send here, or to another engine. */
  reserve(requestId: string, tokens: number, enginePriority?: number): void {
    this.release(requestId);
    const isUrgent = isUrgentAtEngine(enginePriority);
    const cancelEnd = this.clock.after(RESERVATION_TIMEOUT_MS, () => {
      this.reservations.delete(requestId);
    });
    this.reservations.set(requestId, {tokens, isUrgent, cancelEnd});
  }

  /** Ends a reservation: the prompt was sent here, and is in `sent`, or goes elsewhere. */
  release(requestId: string): void {
    this.reservations.get(requestId)?.cancelEnd();
    this.reservations.delete(requestId);
  }

  /** An entry uses priorities, so the urgent part of the backlog is reported from now on. */
  noteOrdered(): void {
    this.isOrdered = true;
  }

  /** The load that is broadcast to all entries; leaves out reservations. */
  load(report: EngineReport): EngineLoadReport {
    return this.loadWith(report, {allTokens: 0, urgentTokens: 0});
  }

  /** The load that answers a query; includes the reservations of other requests. */
  loadForQuery(report: EngineReport): EngineLoadReport {
    let allTokens = 0;
    let urgentTokens = 0;
    for (const {tokens, isUrgent} of this.reservations.values()) {
      allTokens += tokens;
      if (isUrgent) urgentTokens += tokens;
    }
    return this.loadWith(report, {allTokens, urgentTokens});
  }

  private loadWith(
    report: EngineReport,
    reserved: PromptBacklog,
  ): EngineLoadReport {
    const {queued, active, memoryUsedTokens, memoryTokens} = report;
    const runTokens = report.runs.reduce(
      (sum, run) => sum + run.memoryTokens,
      0,
    );
    // Memory that belongs to no reported run holds prompts in prefill, or other data.
    const prefillMemoryTokens = Math.max(0, memoryUsedTokens - runTokens);
    const {allTokens, urgentTokens} = this.backlog(report, prefillMemoryTokens);
    const unallocatedTokens = Math.max(0, allTokens - prefillMemoryTokens);
    return {
      type: 'engineLoad',
      queued,
      active,
      memoryUsedTokens:
        memoryUsedTokens + unallocatedTokens + reserved.allTokens,
      memoryTokens,
      promptBacklogTokens: allTokens + reserved.allTokens,
      urgentBacklogTokens: this.isOrdered
        ? urgentTokens + reserved.urgentTokens
        : undefined,
      leavesInMs: report.leavesInMs,
      startedAtMs: report.startedAtMs,
      outputTokenMs: this.outputTokenMs(),
    };
  }

  /**
   * Tokens still to prefill of the sent prompts that have produced no event yet. The engine
   * completes a prompt that it has begun, even if a more urgent one arrives. A prompt that can
   * wait and is in prefill was sent before all urgent prompts that still wait.
   */
  private backlog(
    report: EngineReport,
    prefillMemoryTokens: number,
  ): PromptBacklog {
    const runs = new Map(report.runs.map((run) => [run.requestId, run]));
    let allTokens = 0;
    let urgentTokens = 0;
    let earlierTokens = 0;
    for (const [requestId, {promptTokens, enginePriority}] of this.sent) {
      const run = runs.get(requestId);
      if (run !== undefined && run.eventsMade > 0) continue;
      const tokens = Math.max(0, promptTokens - (run?.memoryTokens ?? 0));
      allTokens += tokens;
      if (isUrgentAtEngine(enginePriority)) urgentTokens += tokens;
      else if (urgentTokens === 0) earlierTokens += tokens;
    }
    const begunTokens = Math.min(earlierTokens, prefillMemoryTokens);
    return {allTokens, urgentTokens: urgentTokens + begunTokens};
  }
}
