import {createRandom} from '@lilacledge/shared';
import {describe, expect, it} from 'vitest';
import {chooseTrialEndpoint} from '../suspectPlace.js';
import type {TrialCandidate} from '../suspectPlace.js';

const ENGINES = 9;
const MEMORY_TOKENS = 34_000;
const TRIALS = 500;

function candidate(usedTokens: number, isDoubted = false): TrialCandidate {
  return {usedTokens, isDoubted};
}

describe('chooseTrialEndpoint', () => {
  it('chooses the endpoint with the least work', () => {
    const candidates = [candidate(900), candidate(100), candidate(500)];
    expect(chooseTrialEndpoint(candidates)).toEqual(candidate(100));
  });

  it('chooses a doubted endpoint only if there is no other', () => {
    expect(chooseTrialEndpoint([candidate(0, true), candidate(700)])).toEqual(
      candidate(700),
    );
    expect(chooseTrialEndpoint([candidate(0, true)])).toEqual(
      candidate(0, true),
    );
    expect(chooseTrialEndpoint([])).toBeUndefined();
  });

  it.each([1, 2, 3])(
    'risks less than half as much work as a random choice (seed %i)',
    (seed) => {
      const random = createRandom(seed);
      let atRisk = 0;
      let randomChoice = 0;
      for (let trial = 0; trial < TRIALS; trial++) {
        const candidates = Array.from({length: ENGINES}, () =>
          candidate(random() * MEMORY_TOKENS),
        );
        atRisk += chooseTrialEndpoint(candidates)!.usedTokens;
        randomChoice += candidates[Math.floor(random() * ENGINES)]!.usedTokens;
      }
      expect(atRisk).toBeLessThan(randomChoice / 2);
    },
  );
});
