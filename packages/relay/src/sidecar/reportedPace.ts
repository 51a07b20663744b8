import {SteadyTokenTime} from '@lilacledge/policy';
import type {EnginePace} from '@lilacledge/policy';
import type {ReportedRun} from '../model/index.js';

/** The engine renews its figures only a few times a second, so a run is timed over longer. */
const MIN_SAMPLE_INTERVAL_MS = 1_000;

/** A run's memory at the time of a report. */
interface MemorySample {
  readonly atMs: number;
  readonly memoryTokens: number;
}

/** A run's memory as last reported, and when a sample of its growth began. */
interface GrowthSample {
  readonly memoryTokens: number;
  /** The first report with renewed figures; undefined until there was one. */
  readonly start: MemorySample | undefined;
}

/** Learns an engine's pace from the memory growth of its runs between reports. */
export class ReportedPace {
  private samples = new Map<string, MemorySample>();
  private growth = new Map<string, GrowthSample>();
  private readonly steady = new SteadyTokenTime();

  constructor(private readonly pace: EnginePace) {}

  /** Steady time per output token; undefined until a run was timed. */
  get outputTokenMs(): number | undefined {
    return this.steady.outputTokenMs;
  }

  /** Applies the runs of a report; ignores those that are still in prefill. */
  noteRuns(runs: readonly ReportedRun[], nowMs: number): void {
    this.noteGrowth(runs, nowMs);
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

  /**
   * Times the growth of runs for the steady time. A sample begins and ends with a report
   * that has renewed figures: if it began at any report, the age of the figures (up to
   * 300 ms) would make equal engines differ.
   */
  private noteGrowth(runs: readonly ReportedRun[], nowMs: number): void {
    const growth = new Map<string, GrowthSample>();
    for (const {requestId, memoryTokens, eventsMade} of runs) {
      if (eventsMade === 0) continue;
      const known = this.growth.get(requestId);
      const isRenewed =
        known !== undefined && known.memoryTokens !== memoryTokens;
      const start = isRenewed
        ? this.nextStart(known.start, {atMs: nowMs, memoryTokens})
        : known?.start;
      growth.set(requestId, {memoryTokens, start});
    }
    this.growth = growth;
  }

  /** Records a sample that is long enough; returns the start of the current sample. */
  private nextStart(
    start: MemorySample | undefined,
    now: MemorySample,
  ): MemorySample {
    if (start === undefined) return now;
    const tookMs = now.atMs - start.atMs;
    if (tookMs < MIN_SAMPLE_INTERVAL_MS) return start;
    this.steady.note(now.memoryTokens - start.memoryTokens, tookMs, now.atMs);
    return now;
  }
}
