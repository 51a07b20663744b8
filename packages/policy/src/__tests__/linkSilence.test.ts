import {describe, expect, it} from 'vitest';
import {
  LINK_CHECK_INTERVAL_MS,
  linkHeartbeatMs,
  LinkSilence,
} from '../linkSilence.js';

/** Time until a lost link is dialled again, and until the peers have greeted each other. */
const DIAL_MS = 150 + 100;

/** Time for which a check may be late. */
const LATE_MS = 150;

/** Checks until a link without any message counts as silent. */
function checksUntilSilent(settleMs: number): number {
  const silence = new LinkSilence(settleMs);
  for (let checks = 1; ; checks++) if (silence.check()) return checks;
}

// Guards against links that fall silent for longer than the settling time, and against links
// that count as silent between two heartbeats.
describe.each([2_000, 3_000, 4_000, 5_000])(
  'a settling time of %i ms',
  (settleMs) => {
    const silentMs = checksUntilSilent(settleMs) * LINK_CHECK_INTERVAL_MS;

    it('is enough to find a silent link and to open another', () => {
      expect(silentMs + LATE_MS + DIAL_MS).toBeLessThan(settleMs);
    });

    it('has time for a heartbeat that comes late', () => {
      const gapMs = linkHeartbeatMs(settleMs) + LINK_CHECK_INTERVAL_MS;
      expect(gapMs + LATE_MS).toBeLessThan(silentMs - LINK_CHECK_INTERVAL_MS);
    });
  },
);

describe('LinkSilence', () => {
  it('begins anew with each message', () => {
    const silence = new LinkSilence(3_000);
    for (let round = 0; round < 40; round++) {
      for (let check = 0; check < 4; check++) {
        expect(silence.check()).toBe(false);
      }
      silence.noteReceived();
    }
  });
});
