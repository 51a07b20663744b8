import type {Clock} from '@lilacledge/shared';
import type {EngineReport} from '../model/index.js';

/** A copy that was not declared done by then no longer holds the link. */
const MOST_HELD_MS = 1_500;

/** Share of the engine's memory that copies may fill. */
const FULL_SHARE = 0.97;

/**
 * Lets one run at a time be copied to the engine. Copies queue on its link, and
 * the last part of one, for which its run is stopped, would wait behind another.
 */
export class IncomingCopies {
  private current:
    {readonly requestId: string; readonly untilMs: number} | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly report: () => EngineReport | undefined,
  ) {}

  /** Takes the link and the memory for a copy, if both are free. */
  tryTake(requestId: string, tokens: number): boolean {
    const nowMs = this.clock.nowMs();
    const isTaken =
      this.current !== undefined &&
      this.current.requestId !== requestId &&
      nowMs < this.current.untilMs;
    if (isTaken || !this.hasRoom(tokens)) return false;
    this.current = {requestId, untilMs: nowMs + MOST_HELD_MS};
    return true;
  }

  release(requestId: string): void {
    if (this.current?.requestId === requestId) this.current = undefined;
  }

  private hasRoom(tokens: number): boolean {
    const report = this.report();
    if (report === undefined) return true;
    if (report.leavesInMs !== undefined) return false;
    const {memoryUsedTokens, memoryTokens} = report;
    return memoryUsedTokens + tokens <= memoryTokens * FULL_SHARE;
  }
}
