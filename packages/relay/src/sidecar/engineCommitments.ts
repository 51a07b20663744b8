import type {CancelTimer, Clock} from '@lilacledge/shared';
import type {EngineReport} from '../model/index.js';
import type {EngineLoadReport} from '../peers/peerMessages.js';

/**
 * Room that an entry asked for is kept for it this long, unless it says sooner that
 * it sends the prompt here or elsewhere; the way there and back takes 2 ms.
 */
const ASKED_KEPT_MS = 50;

/** A prompt that was sent to the engine. */
export interface SentPrompt {
  readonly promptTokens: number;
}

interface Asked {
  readonly tokens: number;
  readonly cancelEnd: CancelTimer;
}

/**
 * What the engine has to read and will hold in memory, beyond what it reports itself:
 * prompts that wait in its queue are in no memory yet, and those that entries are just
 * about to send are not even in the queue.
 *
 * Answers the pattern of a herd on freed room: when an engine has room again, all
 * entries where somebody waits hear of it at once, and
 * would all send to it, having been told that it has nothing to read. Who asks later is told of those who asked before.
 */
export class EngineCommitments {
  private readonly asked = new Map<string, Asked>();

  constructor(
    private readonly clock: Clock,
    /** The prompts that entries told of, by request. */
    private readonly sent: ReadonlyMap<string, SentPrompt>,
  ) {}

  /** An entry is about to send a prompt, here or elsewhere. */
  noteAsked(requestId: string, tokens: number): void {
    this.release(requestId);
    const cancelEnd = this.clock.after(ASKED_KEPT_MS, () => {
      this.asked.delete(requestId);
    });
    this.asked.set(requestId, {tokens, cancelEnd});
  }

  /** The prompt was sent here, which is told apart, or goes elsewhere. */
  release(requestId: string): void {
    this.asked.get(requestId)?.cancelEnd();
    this.asked.delete(requestId);
  }

  /** The load as entries are told it on their own. */
  load(report: EngineReport): EngineLoadReport {
    return this.loadWith(report, 0);
  }

  /** The load for one who asks: with what others have asked for. */
  loadForAsker(report: EngineReport): EngineLoadReport {
    let tokens = 0;
    for (const asked of this.asked.values()) tokens += asked.tokens;
    return this.loadWith(report, tokens);
  }

  private loadWith(
    report: EngineReport,
    askedTokens: number,
  ): EngineLoadReport {
    const {queued, active, memoryUsedTokens, memoryTokens} = report;
    const unread = this.unreadTokens(report);
    const decoding = report.runs.reduce(
      (sum, run) => sum + run.memoryTokens,
      0,
    );
    // What is in memory without a row is being read, or is kept for another reason.
    const unreadInMemory = Math.max(0, memoryUsedTokens - decoding);
    const toCome = Math.max(0, unread - unreadInMemory);
    return {
      type: 'engineLoad',
      queued,
      active,
      memoryUsedTokens: memoryUsedTokens + toCome + askedTokens,
      memoryTokens,
      promptBacklogTokens: unread + askedTokens,
      leavesInMs: report.leavesInMs,
      startedAtMs: report.startedAtMs,
    };
  }

  /** Prompts that were sent and have made no event yet. */
  private unreadTokens(report: EngineReport): number {
    const rows = new Map(report.runs.map((row) => [row.requestId, row]));
    let tokens = 0;
    for (const [requestId, {promptTokens}] of this.sent) {
      const row = rows.get(requestId);
      if (row !== undefined && row.eventsMade > 0) continue;
      tokens += Math.max(0, promptTokens - (row?.memoryTokens ?? 0));
    }
    return tokens;
  }
}
