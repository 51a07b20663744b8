import type {Clock} from '@lilacledge/shared';

/**
 * Crashes of requests that all entries together report in a second. Many engines that crash
 * together have another cause, and their reports would fill the links between entries.
 */
const MAX_REPORTS_PER_S = 500;

/** A report of a request with more features counts as several. */
const FEATURES_PER_REPORT = 100;

/** Limits the crash reports of one entry to its share of what all entries may report. */
export class CrashReportLimit {
  private second = 0;
  private count = 0;
  private isRefusing = false;

  constructor(private readonly clock: Pick<Clock, 'nowMs'>) {}

  /** Takes one report; `isFirstRefused` is true once in each second with refusals. */
  take(
    entryCount: number,
    featureCount = 1,
  ): {isAllowed: boolean; isFirstRefused: boolean} {
    const second = Math.floor(this.clock.nowMs() / 1_000);
    if (second !== this.second) {
      this.second = second;
      this.count = 0;
      this.isRefusing = false;
    }
    const limit = Math.ceil(MAX_REPORTS_PER_S / Math.max(1, entryCount));
    const isAllowed = this.count < limit;
    const isFirstRefused = !isAllowed && !this.isRefusing;
    this.isRefusing = !isAllowed;
    this.count += Math.max(1, featureCount / FEATURES_PER_REPORT);
    return {isAllowed, isFirstRefused};
  }
}
