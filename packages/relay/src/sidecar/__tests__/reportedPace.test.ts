import {EnginePace} from '@lilacledge/policy';
import {describe, expect, it} from 'vitest';
import {ReportedPace} from '../reportedPace.js';

/** Pause between two reports, and how long the engine's word lags at most. */
const REPORT_MS = 60;
const RENEWED_MS = 300;

/** Lets a run of `tokenMs` a token be seen for `forMs`, in steps as reported. */
function see(pace: EnginePace, tokenMs: number, forMs: number): void {
  const reported = new ReportedPace(pace);
  for (let nowMs = 0; nowMs <= forMs; nowMs += REPORT_MS) {
    const renewedMs = Math.floor(nowMs / RENEWED_MS) * RENEWED_MS;
    const memoryTokens = 3_000 + Math.floor(renewedMs / tokenMs);
    const run = {requestId: 'r', memoryTokens, eventsMade: 1};
    reported.note([run], nowMs);
  }
}

describe('ReportedPace', () => {
  it.each([5, 30])('learns %d ms a token from reports that lag', (tokenMs) => {
    const pace = new EnginePace();
    see(pace, tokenMs, 60_000);
    expect(pace.outputMs(1)).toBeGreaterThan(tokenMs * 0.8);
    expect(pace.outputMs(1)).toBeLessThan(tokenMs * 1.25);
  });

  it('leaves out runs that read their prompt', () => {
    const pace = new EnginePace();
    const before = pace.outputMs(1);
    const reported = new ReportedPace(pace);
    for (let nowMs = 0; nowMs <= 5_000; nowMs += REPORT_MS) {
      const run = {requestId: 'r', memoryTokens: nowMs * 7, eventsMade: 0};
      reported.note([run], nowMs);
    }
    expect(pace.outputMs(1)).toBe(before);
  });
});
