import {createRandom} from '@lilacledge/shared';
import {describe, expect, it} from 'vitest';
import {suspectPlace} from '../suspectPlace.js';
import type {SuspectPlace} from '../suspectPlace.js';

const ENGINES = 9;
const MEMORY_TOKENS = 34_000;
const TRIALS = 500;

function place(usedTokens: number, isDoubted = false): SuspectPlace {
  return {usedTokens, isDoubted};
}

describe('a suspected request', () => {
  it('is tried beside the least work of others', () => {
    const places = [place(900), place(100), place(500)];
    expect(suspectPlace(places)).toEqual(place(100));
  });

  it('is tried at a doubted endpoint only where no other takes it', () => {
    expect(suspectPlace([place(0, true), place(700)])).toEqual(place(700));
    expect(suspectPlace([place(0, true)])).toEqual(place(0, true));
    expect(suspectPlace([])).toBeUndefined();
  });

  it.each([1, 2, 3])(
    'takes less than half as much with it as at a usual place (seed %i)',
    (seed) => {
      const random = createRandom(seed);
      let tried = 0;
      let usual = 0;
      for (let trial = 0; trial < TRIALS; trial++) {
        const places = Array.from({length: ENGINES}, () =>
          place(random() * MEMORY_TOKENS),
        );
        tried += suspectPlace(places)!.usedTokens;
        usual += places[Math.floor(random() * ENGINES)]!.usedTokens;
      }
      expect(tried).toBeLessThan(usual / 2);
    },
  );
});
