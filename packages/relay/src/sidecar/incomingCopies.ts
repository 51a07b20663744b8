import type {Clock} from '@lilacledge/shared';
import type {EngineReport} from '../model/index.js';

/** A copy that was not reported as done after this time no longer holds the link. */
const COPY_TIMEOUT_MS = 1_500;

/** Share of the engine's memory up to which copies are accepted. */
const MAX_MEMORY_SHARE = 0.97;

/**
 * Allows one run at a time to be copied to the engine. Concurrent copies would share its link,
 * and the final part of a copy, during which the run is stopped, would wait for another copy.
 */
export class IncomingCopies {
  private current:
    {readonly requestId: string; readonly untilMs: number} | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly report: () => EngineReport | undefined,
  ) {}

  /** Acquires the link for a copy if it is free and the engine has memory for the tokens. */
  tryAcquire(requestId: string, tokens: number): boolean {
    const nowMs = this.clock.nowMs();
    const isHeldByOther =
      this.current !== undefined &&
      this.current.requestId !== requestId &&
      nowMs < this.current.untilMs;
    if (isHeldByOther || !this.hasMemory(tokens)) return false;
    this.current = {requestId, untilMs: nowMs + COPY_TIMEOUT_MS};
    return true;
  }

  release(requestId: string): void {
    if (this.current?.requestId === requestId) this.current = undefined;
  }

  private hasMemory(tokens: number): boolean {
    const report = this.report();
    if (report === undefined) return true;
    if (report.leavesInMs !== undefined) return false;
    const {memoryUsedTokens, memoryTokens} = report;
    return memoryUsedTokens + tokens <= memoryTokens * MAX_MEMORY_SHARE;
  }
}
