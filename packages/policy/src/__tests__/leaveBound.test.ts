import {describe, expect, it} from 'vitest';
import {lapseEndsMs, lastWorkEndsMs, storeWatchMs} from '../leaveBound.js';
import {gatherMs, ViewState} from '../watchPace.js';

/** A send takes a connection and the way there: at most 0.25 s to be tried. */
const SEND_MS = 250;

describe('the bound on work for a leaving endpoint', () => {
  it.each([2_000, 3_000])(
    'is kept by the sum of all that spends from it (%d ms)',
    (boundMs) => {
      const learnedMs = gatherMs(boundMs, ViewState.SETTLED);
      const told = {kind: 'told', atMs: learnedMs} as const;
      const stored = {kind: 'stored', clearMs: 0} as const;
      for (const news of [told, stored]) {
        const lastMs = lastWorkEndsMs(news, boundMs);
        expect(lastMs + SEND_MS).toBeLessThan(boundMs);
        expect(lastMs).toBeGreaterThan(boundMs * 0.75);
      }
    },
  );

  it('leaves no time for a leave that may be older than its last resort', () => {
    expect(lastWorkEndsMs({kind: 'told', atMs: 0}, 2_000)).toBe(1_000);
    expect(lastWorkEndsMs({kind: 'stored', clearMs: 0}, 2_000)).toBe(1_600);
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
