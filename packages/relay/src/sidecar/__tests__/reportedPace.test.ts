import {EnginePace} from '@lilacledge/policy';
import {describe, expect, it} from 'vitest';
import {ReportedPace} from '../reportedPace.js';

/** Time between two reports, and how often the engine renews the figures in them. */
const REPORT_INTERVAL_MS = 60;
const RENEWAL_INTERVAL_MS = 300;

/** Reports a run that takes `tokenMs` per token, for `forMs`. */
function reportRun(pace: EnginePace, tokenMs: number, forMs: number): void {
  const reported = new ReportedPace(pace);
  for (let nowMs = 0; nowMs <= forMs; nowMs += REPORT_INTERVAL_MS) {
    const renewedMs =
      Math.floor(nowMs / RENEWAL_INTERVAL_MS) * RENEWAL_INTERVAL_MS;
    const memoryTokens = 3_000 + Math.floor(renewedMs / tokenMs);
    const run = {requestId: 'r', memoryTokens, eventsMade: 1};
    reported.noteRuns([run], nowMs);
  }
}

describe('ReportedPace', () => {
  it.each([5, 30])('learns %d ms per token from stale reports', (tokenMs) => {
    const pace = new EnginePace();
    reportRun(pace, tokenMs, 60_000);
    expect(pace.outputMs(1)).toBeGreaterThan(tokenMs * 0.8);
    expect(pace.outputMs(1)).toBeLessThan(tokenMs * 1.25);
  });

  it('ignores runs in prefill', () => {
    const pace = new EnginePace();
    const before = pace.outputMs(1);
    const reported = new ReportedPace(pace);
    for (let nowMs = 0; nowMs <= 5_000; nowMs += REPORT_INTERVAL_MS) {
      const run = {requestId: 'r', memoryTokens: nowMs * 7, eventsMade: 0};
      reported.noteRuns([run], nowMs);
    }
    expect(pace.outputMs(1)).toBe(before);
  });
});
