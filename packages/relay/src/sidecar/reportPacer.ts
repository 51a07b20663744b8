import type {Clock} from '@lilacledge/shared';
import type {EngineLoadReport} from '../peers/engineMessages.js';

/** Longest time between two reports: half the time for which entries use one. */
const MAX_INTERVAL_MS = 800;

/** Shortest time between two reports with few links; each report goes to every entry. */
const MIN_INTERVAL_MS = 100;

/**
 * Above this number of links the minimum interval grows in proportion to them, which keeps a
 * sidecar at 60 sent reports a second or fewer until `MAX_INTERVAL_MS` is reached.
 */
const LINKS_AT_MIN_INTERVAL = 6;

/** Changes of used memory or backlog up to this share of the memory are not sent early. */
const MEMORY_CHANGE_SHARE = 0.015;

/** Decides which of an engine's reports are sent to the entries. */
export class ReportPacer {
  private last: EngineLoadReport | undefined;
  private lastSentAtMs = 0;

  constructor(
    private readonly clock: Clock,
    private readonly linkCount: () => number,
  ) {}

  /** The report that was sent last; a new link gets it at once. */
  get lastSent(): EngineLoadReport | undefined {
    return this.last;
  }

  noteSent(report: EngineLoadReport): void {
    this.last = report;
    this.lastSentAtMs = this.clock.nowMs();
  }

  shouldSend(report: EngineLoadReport): boolean {
    const {last} = this;
    if (last === undefined) return true;
    if (last.startedAtMs !== report.startedAtMs) return true;
    const isNewLeave =
      last.leavesInMs === undefined && report.leavesInMs !== undefined;
    if (isNewLeave) return true;
    const ageMs = this.clock.nowMs() - this.lastSentAtMs;
    if (ageMs >= MAX_INTERVAL_MS) return true;
    if (ageMs < this.minIntervalMs) return false;
    const minDelta = MEMORY_CHANGE_SHARE * report.memoryTokens;
    const usedDelta = report.memoryUsedTokens - last.memoryUsedTokens;
    const backlogDelta = report.promptBacklogTokens - last.promptBacklogTokens;
    const urgentDelta =
      (report.urgentBacklogTokens ?? 0) - (last.urgentBacklogTokens ?? 0);
    return [usedDelta, backlogDelta, urgentDelta].some(
      (delta) => Math.abs(delta) > minDelta,
    );
  }

  private get minIntervalMs(): number {
    const factor = Math.max(1, this.linkCount() / LINKS_AT_MIN_INTERVAL);
    return Math.min(MAX_INTERVAL_MS, MIN_INTERVAL_MS * factor);
  }
}
