import type {Clock} from '@lilacledge/shared';
import type {EngineLoadReport} from '../peers/peerMessages.js';

/** Reports to entries come at least this often: half of what they keep one. */
const MAX_INTERVAL_MS = 800;

/** And at most this often with few links, as each report goes to every entry. */
const MIN_INTERVAL_MS = 100;

/**
 * With more links than this the least interval grows with them, so that a
 * sidecar sends no more than 60 reports a second, however large the fleet is.
 */
const LINKS_AT_MIN_INTERVAL = 6;

/** A change of memory or backlog below this share of it is not worth a message. */
const MEMORY_CHANGE_SHARE = 0.015;

/** Decides which of an engine's reports are told to the entries. */
export class ReportPacer {
  private told: EngineLoadReport | undefined;
  private toldAtMs = 0;

  constructor(
    private readonly clock: Clock,
    private readonly linkCount: () => number,
  ) {}

  /** What the entries were told last; a new link gets it at once. */
  get lastTold(): EngineLoadReport | undefined {
    return this.told;
  }

  noteTold(report: EngineLoadReport): void {
    this.told = report;
    this.toldAtMs = this.clock.nowMs();
  }

  isWorthTelling(report: EngineLoadReport): boolean {
    const {told} = this;
    if (told === undefined) return true;
    if (told.startedAtMs !== report.startedAtMs) return true;
    const isNewLeave =
      told.leavesInMs === undefined && report.leavesInMs !== undefined;
    if (isNewLeave) return true;
    const ageMs = this.clock.nowMs() - this.toldAtMs;
    if (ageMs >= MAX_INTERVAL_MS) return true;
    if (ageMs < this.minIntervalMs) return false;
    const least = MEMORY_CHANGE_SHARE * report.memoryTokens;
    const memoryChange = report.memoryUsedTokens - told.memoryUsedTokens;
    const backlogChange = report.promptBacklogTokens - told.promptBacklogTokens;
    return Math.abs(memoryChange) > least || Math.abs(backlogChange) > least;
  }

  private get minIntervalMs(): number {
    const crowding = Math.max(1, this.linkCount() / LINKS_AT_MIN_INTERVAL);
    return Math.min(MAX_INTERVAL_MS, MIN_INTERVAL_MS * crowding);
  }
}
