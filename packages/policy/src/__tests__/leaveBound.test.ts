import {describe, expect, it} from 'vitest';
import {
  expiredKeptUntilMs,
  lastResortUntilMs,
  storeWatchTimeoutMs,
} from '../leaveBound.js';
import {batchDelayMs, ViewState} from '../watchPace.js';

/** Connection timeout plus the transfer of the request. */
const CONNECT_MS = 250;

describe('the deadline for work at a leaving endpoint', () => {
  it.each([2_000, 3_000])(
    'is kept by the sum of all its shares (%d ms)',
    (deadlineMs) => {
      const receivedMs = batchDelayMs(deadlineMs, ViewState.SETTLED);
      const reported = {kind: 'told', atMs: receivedMs} as const;
      const stored = {kind: 'stored', clearMs: 0} as const;
      for (const notice of [reported, stored]) {
        const lastMs = lastResortUntilMs(notice, deadlineMs);
        expect(lastMs + CONNECT_MS).toBeLessThan(deadlineMs);
        expect(lastMs).toBeGreaterThan(deadlineMs * 0.75);
      }
    },
  );

  it('shortens the use as a last resort by the possible age of the leave', () => {
    expect(lastResortUntilMs({kind: 'told', atMs: 0}, 2_000)).toBe(1_000);
    expect(lastResortUntilMs({kind: 'stored', clearMs: 0}, 2_000)).toBe(1_600);
  });
});

describe('storeWatchTimeoutMs', () => {
  it.each([2_000, 3_000, 4_000])(
    'lets a dead watch be detected within the settling time (%d ms)',
    (settleMs) => {
      const [clientMarginMs, retryMs] = [700, 60];
      const detectedMs =
        storeWatchTimeoutMs(settleMs) + clientMarginMs + retryMs;
      expect(detectedMs).toBeLessThan(settleMs);
    },
  );
});

describe('expiredKeptUntilMs', () => {
  const SETTLE_MS = 3_000;

  it('keeps an endpoint for as long as its registration may return', () => {
    const recovery = {atMs: 10_000, lastFailedMs: 9_900};
    expect(expiredKeptUntilMs(recovery, SETTLE_MS)).toBe(12_500);
  });

  it('ends when the deadline applies again, counted from the last failure', () => {
    const recovery = {atMs: 10_000, lastFailedMs: 8_600};
    expect(expiredKeptUntilMs(recovery, SETTLE_MS)).toBe(11_600);
  });

  it('keeps nothing if only a connection had failed', () => {
    expect(expiredKeptUntilMs({atMs: 10_000}, SETTLE_MS)).toBeLessThan(10_000);
  });
});
