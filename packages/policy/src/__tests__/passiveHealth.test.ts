import {beforeEach, describe, expect, it} from 'vitest';
import {PassiveHealth} from '../passiveHealth.js';
import type {Doubt} from '../passiveHealth.js';

let doubts: Doubt[];
let health: PassiveHealth;

beforeEach(() => {
  doubts = [];
  health = new PassiveHealth((doubt) => doubts.push(doubt));
});

describe('PassiveHealth', () => {
  it('tolerates one error in seven responses', () => {
    for (let call = 0; call < 70; call++) {
      if (call % 7 === 0) health.noteFailure(call);
      else health.noteSuccess();
    }
    expect(doubts).toEqual([]);
  });

  it('raises a doubt at the given number of requests without a response', () => {
    health.noteNoResponse(0, true);
    expect(doubts).toEqual([]);
    health.noteNoResponse(0, true);
    expect(doubts).toEqual([{cause: 'reset', forMs: 1_500}]);
    const strict = new PassiveHealth();
    strict.noteNoResponse(0, true, 1);
    expect(strict.isDoubted(0)).toBe(true);
  });

  it('doubles consecutive doubts up to eight seconds', () => {
    let nowMs = 0;
    for (let round = 0; round < 5; round++) {
      health.noteNoResponse(nowMs, false, 1);
      nowMs += 10_000;
    }
    expect(doubts.map(({forMs}) => forMs)).toEqual([
      1_500, 3_000, 6_000, 8_000, 8_000,
    ]);
  });

  describe('with a doubt reported by a peer', () => {
    it('applies it once and notifies once', () => {
      health.applyPeerDoubt(0, 1_000);
      health.applyPeerDoubt(500, 1_000);
      expect(doubts).toEqual([{cause: 'peer', forMs: 1_000}]);
      expect(health.isDoubted(999)).toBe(true);
      expect(health.isDoubted(1_000)).toBe(false);
    });

    it('continues its backoff when own requests fail afterwards', () => {
      health.applyPeerDoubt(0, 1_500);
      health.noteNoResponse(2_000, true, 1);
      expect(doubts.at(-1)).toEqual({cause: 'reset', forMs: 3_000});
    });
  });
});

describe('PassiveHealth that raises no doubts', () => {
  it('still estimates the failure probability', () => {
    const plain = new PassiveHealth((doubt) => doubts.push(doubt), false);
    for (let failure = 0; failure < 9; failure++) plain.noteNoResponse(0, true);
    plain.applyPeerDoubt(0, 5_000);
    expect(plain.isDoubted(1)).toBe(false);
    expect(doubts).toEqual([]);
    expect(plain.failureProbability).toBeGreaterThan(0.5);
  });
});
