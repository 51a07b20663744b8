import {createRandom} from '@lilacledge/shared';
import {describe, expect, it} from 'vitest';
import {EnginePace} from '../enginePace.js';
import {endsInAnyCase, endsInTime} from '../lastGeneration.js';
import type {LastGeneration} from '../lastGeneration.js';

/*
 * Seen in a soak: an entry that was told to stop began drafts whose usual output
 * just fitted into the time that was left (1,425 ms for 1,132 tokens), and cut them
 * at its end. The forecast was the median of the pace, so that half of those at
 * the edge were cut.
 */

/** Time that a stopped process serves on. */
const GRACE_MS = 7_750;

/** Callers come until the balancer has noticed. */
const ARRIVALS_MS = 2_500;

const TOKEN_MS = 9;
const READ_MS = 430;
const PROMPT_TOKENS = 3_000;
const COUNT = 4_000;

/** Longest silence before a first event that callers bear. */
const SILENCE_MS = 2_400;

/** How much an output's pace differs from the usual one. */
function varied(random: () => number): number {
  return 0.8 + 0.4 * random();
}

function learnedPace(): EnginePace {
  const random = createRandom(7);
  const pace = new EnginePace();
  for (let index = 0; index < 600; index++) {
    pace.noteOutput(32, 32 * TOKEN_MS * varied(random));
    pace.noteRead(PROMPT_TOKENS, READ_MS);
  }
  return pace;
}

interface Seen {
  readonly begun: number;
  readonly cut: number;
}

/** What becomes of outputs up to `longest` tokens that are as estimated. */
function seeOutputs(longest: number): Seen {
  const random = createRandom(3);
  const pace = learnedPace();
  let begun = 0;
  let cut = 0;
  for (let index = 0; index < COUNT; index++) {
    const tokens = 1 + Math.floor(random() * longest);
    const generation: LastGeneration = {
      timeLeftMs: GRACE_MS - random() * ARRIVALS_MS,
      promptTokens: PROMPT_TOKENS,
      expectedOutputTokens: tokens,
      maxOutputTokens: longest,
      longestSilenceMs: SILENCE_MS,
    };
    if (!endsInTime(generation, pace)) continue;
    begun++;
    const neededMs = READ_MS + tokens * TOKEN_MS * varied(random);
    if (neededMs > generation.timeLeftMs) cut++;
  }
  return {begun, cut};
}

describe('a generation that reaches a process which is told to stop', () => {
  it('is not begun if a slow engine would let it be cut', () => {
    const {begun, cut} = seeOutputs(1_500);
    expect(begun).toBeGreaterThan(COUNT * 0.3);
    expect(cut / begun).toBeLessThan(0.01);
  });

  it('is begun if it is short', () => {
    expect(seeOutputs(60)).toEqual({begun: COUNT, cut: 0});
  });

  it('is begun while the process stays', () => {
    const generation = {
      timeLeftMs: Infinity,
      promptTokens: 1_000,
      expectedOutputTokens: 100_000,
      maxOutputTokens: 200_000,
      longestSilenceMs: SILENCE_MS,
    };
    expect(endsInTime(generation, new EnginePace())).toBe(true);
    expect(endsInAnyCase(generation, new EnginePace())).toBe(true);
  });

  it('is not cut in any case, however long its engine lets it wait', () => {
    const random = createRandom(5);
    const pace = learnedPace();
    let begun = 0;
    let cut = 0;
    for (let index = 0; index < COUNT; index++) {
      const tokens = 1 + Math.floor(random() * 300);
      const generation: LastGeneration = {
        timeLeftMs: GRACE_MS * random(),
        promptTokens: 100,
        expectedOutputTokens: tokens / 2,
        maxOutputTokens: tokens,
        longestSilenceMs: SILENCE_MS,
      };
      if (!endsInAnyCase(generation, pace)) continue;
      begun++;
      const waitMs = random() * SILENCE_MS;
      const neededMs = waitMs + tokens * TOKEN_MS * varied(random);
      if (neededMs > generation.timeLeftMs) cut++;
    }
    expect(begun).toBeGreaterThan(COUNT * 0.2);
    expect(cut).toBe(0);
  });

  it('fits in any case only if its longest output does', () => {
    const generation = {
      timeLeftMs: GRACE_MS,
      promptTokens: 1_000,
      expectedOutputTokens: 100,
      maxOutputTokens: 2_000,
      longestSilenceMs: READ_MS,
    };
    const pace = learnedPace();
    expect(endsInAnyCase(generation, pace)).toBe(false);
    const short = {...generation, maxOutputTokens: 300};
    expect(endsInAnyCase(short, pace)).toBe(true);
    const long = {...short, longestSilenceMs: GRACE_MS};
    expect(endsInAnyCase(long, pace)).toBe(false);
  });
});
