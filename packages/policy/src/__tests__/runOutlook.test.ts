import {describe, expect, it} from 'vitest';
import {chanceToGoOn, mostAtRisk} from '../runOutlook.js';
import type {RunOutlook} from '../runOutlook.js';

function run(
  requestId: string,
  producedTokens: number,
  expectedOutputTokens = 900,
  promptTokens = 3_000,
): RunOutlook {
  return {requestId, producedTokens, expectedOutputTokens, promptTokens};
}

describe('the outlook of a run', () => {
  it('is better for what has just begun', () => {
    const early = chanceToGoOn(run('a', 10), 150);
    const late = chanceToGoOn(run('b', 10, 50), 150);
    expect(early).toBeGreaterThan(0.9);
    expect(late).toBeLessThan(0.6);
  });

  it('is a chance, whatever the estimate', () => {
    for (const produced of [0, 1, 50, 5_000]) {
      for (const expected of [0, 1, 100, 100_000]) {
        const chance = chanceToGoOn(run('a', produced, expected), 200);
        expect(chance).toBeGreaterThanOrEqual(0);
        expect(chance).toBeLessThanOrEqual(1);
      }
    }
  });

  describe('mostAtRisk', () => {
    it('takes what loses most for its copy', () => {
      const long = run('long', 100, 2_000);
      const short = run('short', 100, 120);
      expect(mostAtRisk([short, long], 1_500, 10)?.requestId).toBe('long');
    });

    it('takes the smaller of two that are worth the same', () => {
      const heavy = run('heavy', 100, 900, 6_000);
      const light = run('light', 100, 900, 1_000);
      expect(mostAtRisk([heavy, light], 1_500, 10)?.requestId).toBe('light');
    });

    it('takes none of none', () => {
      expect(mostAtRisk([], 1_500, 10)).toBeUndefined();
    });
  });
});
