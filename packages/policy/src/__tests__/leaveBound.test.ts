import {describe, expect, it} from 'vitest';
import {lapseEndsMs, mayGetLastWork, storeWatchMs} from '../leaveBound.js';
import {gatherMs, ViewState} from '../watchPace.js';

/** A send takes a connection and the way there: at most 0.25 s to be tried. */
const SEND_MS = 250;

describe('the bound on work for a leaving endpoint', () => {
  it.each([2_000, 3_000])(
    'is kept by the sum of all that spends from it (%d ms)',
    (boundMs) => {
      const learnedMs = gatherMs(boundMs, ViewState.SETTLED);
      let lastMs = learnedMs;
      while (mayGetLastWork(learnedMs, lastMs, boundMs)) lastMs++;
      expect(lastMs + SEND_MS).toBeLessThan(boundMs);
      expect(lastMs).toBeGreaterThan(boundMs * 0.75);
    },
  );

  it('leaves no time for a leave that may be older than its last resort', () => {
    expect(mayGetLastWork(0, 900, 2_000)).toBe(true);
    expect(mayGetLastWork(0, 1_100, 2_000)).toBe(false);
  });
});

describe('storeWatchMs', () => {
  it.each([2_000, 3_000, 4_000])(
    'lets a dead watch be noticed before the bound holds again (%d ms)',
    (settleMs) => {
      const [clientMarginMs, retryMs] = [700, 60];
      const noticedMs = storeWatchMs(settleMs) + clientMarginMs + retryMs;
      expect(noticedMs).toBeLessThan(settleMs);
    },
  );
});

describe('lapseEndsMs', () => {
  const SETTLE_MS = 3_000;

  it('keeps what is missing for as long as it may come back', () => {
    const seen = {atMs: 10_000, lastFailedMs: 9_900};
    expect(lapseEndsMs(seen, SETTLE_MS)).toBe(12_500);
  });

  it('ends before the bound holds again, counted from the last failure', () => {
    const seen = {atMs: 10_000, lastFailedMs: 8_600};
    expect(lapseEndsMs(seen, SETTLE_MS)).toBe(11_600);
  });

  it('keeps nothing when only a connection had failed', () => {
    expect(lapseEndsMs({atMs: 10_000}, SETTLE_MS)).toBeLessThan(10_000);
  });
});
