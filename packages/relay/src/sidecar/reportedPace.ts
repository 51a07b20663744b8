import type {EnginePace} from '@lilacledge/policy';
import type {ReportedRun} from '../model/index.js';

/** The engine renews its figures only a few times a second, so a run is timed over longer. */
const MIN_SAMPLE_INTERVAL_MS = 1_000;

/** A run's memory at the time of a report. */
interface MemorySample {
  readonly atMs: number;
  readonly memoryTokens: number;
}

/** Learns an engine's pace from the memory growth of its runs between reports. */
export class ReportedPace {
  private samples = new Map<string, MemorySample>();

  constructor(private readonly pace: EnginePace) {}

  /** Applies the runs of a report; ignores those that are still in prefill. */
  noteRuns(runs: readonly ReportedRun[], nowMs: number): void {
    const samples = new Map<string, MemorySample>();
    for (const {requestId, memoryTokens, eventsMade} of runs) {
      if (eventsMade === 0) continue;
      const sample = this.samples.get(requestId);
      if (
        sample === undefined ||
        nowMs - sample.atMs >= MIN_SAMPLE_INTERVAL_MS
      ) {
        if (sample !== undefined) {
          this.pace.noteOutput(
            memoryTokens - sample.memoryTokens,
            nowMs - sample.atMs,
          );
        }
        samples.set(requestId, {atMs: nowMs, memoryTokens});
      } else {
        samples.set(requestId, sample);
      }
    }
    this.samples = samples;
  }
}
