import {createRandom} from '@lilacledge/shared';
import {describe, expect, it} from 'vitest';
import {EnginePace} from '../enginePace.js';
import type {EngineForecasts} from '../enginePace.js';
import {generationDuration} from '../shutdownGeneration.js';
import type {ShutdownGeneration} from '../shutdownGeneration.js';

/*
 * Guards against an entry that starts generations during its shutdown and interrupts them:
 * with a forecast from the median pace half of the outputs that just fitted were
 * interrupted (1,132 tokens in 1,425 ms).
 */

/** Time that a process keeps serving during its shutdown. */
const GRACE_MS = 7_750;

/** Time until the load balancer stops sending callers. */
const ARRIVALS_MS = 2_500;

const TOKEN_MS = 9;
const PROMPT_MS = 430;
const PROMPT_TOKENS = 3_000;
const GENERATION_COUNT = 4_000;

/** Longest time that callers wait for a first event. */
const MAX_SILENCE_MS = 2_400;

/** Factor by which the pace of one output differs from the median. */
function randomPaceFactor(random: () => number): number {
  return 0.8 + 0.4 * random();
}

/** A generation, and the time until its process ends open requests. */
interface Arrival extends ShutdownGeneration {
  readonly timeLeftMs: number;
}

function isLikelyToFinish(arrival: Arrival, pace: EngineForecasts): boolean {
  return generationDuration(arrival, pace).expectedMs <= arrival.timeLeftMs;
}

function isCertainToFinish(arrival: Arrival, pace: EngineForecasts): boolean {
  return generationDuration(arrival, pace).longestMs <= arrival.timeLeftMs;
}

function learnedPace(): EnginePace {
  const random = createRandom(7);
  const pace = new EnginePace();
  for (let index = 0; index < 600; index++) {
    pace.noteOutput(32, 32 * TOKEN_MS * randomPaceFactor(random));
    pace.notePrefill(PROMPT_TOKENS, PROMPT_MS);
  }
  return pace;
}

interface Result {
  readonly begun: number;
  readonly cut: number;
}

/** Simulates generations of up to `longest` tokens whose estimates are exact. */
function simulateGenerations(longest: number): Result {
  const random = createRandom(3);
  const pace = learnedPace();
  let begun = 0;
  let cut = 0;
  for (let index = 0; index < GENERATION_COUNT; index++) {
    const tokens = 1 + Math.floor(random() * longest);
    const generation: Arrival = {
      timeLeftMs: GRACE_MS - random() * ARRIVALS_MS,
      promptTokens: PROMPT_TOKENS,
      expectedOutputTokens: tokens,
      maxOutputTokens: longest,
      longestSilenceMs: MAX_SILENCE_MS,
    };
    if (!isLikelyToFinish(generation, pace)) continue;
    begun++;
    const neededMs = PROMPT_MS + tokens * TOKEN_MS * randomPaceFactor(random);
    if (neededMs > generation.timeLeftMs) cut++;
  }
  return {begun, cut};
}

describe('a generation that arrives during a shutdown', () => {
  it('is not started if a slow engine would not complete it', () => {
    const {begun, cut} = simulateGenerations(1_500);
    expect(begun).toBeGreaterThan(GENERATION_COUNT * 0.3);
    expect(cut / begun).toBeLessThan(0.01);
  });

  it('is started if it is short', () => {
    expect(simulateGenerations(60)).toEqual({begun: GENERATION_COUNT, cut: 0});
  });

  it('is started if the process is not shutting down', () => {
    const generation: Arrival = {
      timeLeftMs: Infinity,
      promptTokens: 1_000,
      expectedOutputTokens: 100_000,
      maxOutputTokens: 200_000,
      longestSilenceMs: MAX_SILENCE_MS,
    };
    expect(isLikelyToFinish(generation, new EnginePace())).toBe(true);
    expect(isCertainToFinish(generation, new EnginePace())).toBe(true);
  });

  it('is never interrupted if certain to finish, however long it queues', () => {
    const random = createRandom(5);
    const pace = learnedPace();
    let begun = 0;
    let cut = 0;
    for (let index = 0; index < GENERATION_COUNT; index++) {
      const tokens = 1 + Math.floor(random() * 300);
      const generation: Arrival = {
        timeLeftMs: GRACE_MS * random(),
        promptTokens: 100,
        expectedOutputTokens: tokens / 2,
        maxOutputTokens: tokens,
        longestSilenceMs: MAX_SILENCE_MS,
      };
      if (!isCertainToFinish(generation, pace)) continue;
      begun++;
      const waitMs = random() * MAX_SILENCE_MS;
      const neededMs = waitMs + tokens * TOKEN_MS * randomPaceFactor(random);
      if (neededMs > generation.timeLeftMs) cut++;
    }
    expect(begun).toBeGreaterThan(GENERATION_COUNT * 0.2);
    expect(cut).toBe(0);
  });

  it('is certain to finish only if its longest output is', () => {
    const generation: Arrival = {
      timeLeftMs: GRACE_MS,
      promptTokens: 1_000,
      expectedOutputTokens: 100,
      maxOutputTokens: 2_000,
      longestSilenceMs: PROMPT_MS,
    };
    const pace = learnedPace();
    expect(isCertainToFinish(generation, pace)).toBe(false);
    const short = {...generation, maxOutputTokens: 300};
    expect(isCertainToFinish(short, pace)).toBe(true);
    const long = {...short, longestSilenceMs: GRACE_MS};
    expect(isCertainToFinish(long, pace)).toBe(false);
  });
});
