import type {EnginePace} from '@lilacledge/policy';
import type {ReportedRun} from '../model/index.js';

/** Reports are renewed several times a second: a run is timed over longer. */
const TIMED_MS = 1_000;

interface Mark {
  readonly atMs: number;
  readonly memoryTokens: number;
}

/** Times an engine's runs by how their memory grows from report to report. */
export class ReportedPace {
  private marks = new Map<string, Mark>();

  constructor(private readonly pace: EnginePace) {}

  /** Takes the runs of a report; those that read their prompt are left out. */
  note(runs: readonly ReportedRun[], nowMs: number): void {
    const marks = new Map<string, Mark>();
    for (const {requestId, memoryTokens, eventsMade} of runs) {
      if (eventsMade === 0) continue;
      const mark = this.marks.get(requestId);
      if (mark === undefined || nowMs - mark.atMs >= TIMED_MS) {
        if (mark !== undefined) {
          this.pace.noteOutput(
            memoryTokens - mark.memoryTokens,
            nowMs - mark.atMs,
          );
        }
        marks.set(requestId, {atMs: nowMs, memoryTokens});
      } else {
        marks.set(requestId, mark);
      }
    }
    this.marks = marks;
  }
}
