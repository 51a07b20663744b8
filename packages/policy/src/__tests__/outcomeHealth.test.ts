import {beforeEach, describe, expect, it} from 'vitest';
import {OutcomeHealth} from '../outcomeHealth.js';
import type {Doubt} from '../outcomeHealth.js';

let doubts: Doubt[];
let health: OutcomeHealth;

beforeEach(() => {
  doubts = [];
  health = new OutcomeHealth((doubt) => doubts.push(doubt));
});

describe('OutcomeHealth', () => {
  it('stands one answer in seven that is an error', () => {
    for (let call = 0; call < 70; call++) {
      if (call % 7 === 0) health.noteFailure(call);
      else health.noteSuccess();
    }
    expect(doubts).toEqual([]);
  });

  it('raises a doubt at the limit of silences that the caller sets', () => {
    health.noteSilence(0, true);
    expect(doubts).toEqual([]);
    health.noteSilence(0, true);
    expect(doubts).toEqual([{cause: 'reset', forMs: 1_500}]);
    const strict = new OutcomeHealth();
    strict.noteSilence(0, true, 1);
    expect(strict.isDoubted(0)).toBe(true);
  });

  it('doubles each doubt in a row, up to eight seconds', () => {
    let nowMs = 0;
    for (let round = 0; round < 5; round++) {
      health.noteSilence(nowMs, false, 1);
      nowMs += 10_000;
    }
    expect(doubts.map(({forMs}) => forMs)).toEqual([
      1_500, 3_000, 6_000, 8_000, 8_000,
    ]);
  });

  describe('told of a doubt by a peer', () => {
    it('takes it once, and tells of it once', () => {
      health.takeDoubt(0, 1_000);
      health.takeDoubt(500, 1_000);
      expect(doubts).toEqual([{cause: 'peer', forMs: 1_000}]);
      expect(health.isDoubted(999)).toBe(true);
      expect(health.isDoubted(1_000)).toBe(false);
    });

    it('goes on from there when its own requests fail after it', () => {
      health.takeDoubt(0, 1_500);
      health.noteSilence(2_000, true, 1);
      expect(doubts.at(-1)).toEqual({cause: 'reset', forMs: 3_000});
    });
  });
});

describe('OutcomeHealth that raises no doubts', () => {
  it('still knows how likely a failure is', () => {
    const sober = new OutcomeHealth((doubt) => doubts.push(doubt), false);
    for (let failure = 0; failure < 9; failure++) sober.noteSilence(0, true);
    sober.takeDoubt(0, 5_000);
    expect(sober.isDoubted(1)).toBe(false);
    expect(doubts).toEqual([]);
    expect(sober.failureChance).toBeGreaterThan(0.5);
  });
});
