import {createRandom} from '@lilacledge/shared';
import {describe, expect, it} from 'vitest';
import {EnginePace} from '../enginePace.js';

/** Speed of one type of engine. */
interface EngineSpeed {
  readonly promptTokensPerMs: number;
  readonly tokenMs: number;
}

const FAST: EngineSpeed = {promptTokensPerMs: 14, tokenMs: 7};
const SLOW: EngineSpeed = {promptTokensPerMs: 2, tokenMs: 40};

/** Records `count` generations on such engines, with varied times. */
function recordGenerations(
  pace: EnginePace,
  engines: EngineSpeed,
  count: number,
): void {
  const random = createRandom(5);
  for (let index = 0; index < count; index++) {
    const promptTokens = 1_000 + Math.floor(random() * 4_000);
    const variation = 0.7 + 0.6 * random();
    pace.notePrefill(
      promptTokens,
      (promptTokens / engines.promptTokensPerMs) * variation,
    );
    pace.noteOutput(32, 32 * engines.tokenMs * variation);
  }
}

/** Asserts that forecasts are within 20 % of the actual times of such engines. */
function expectForecasts(pace: EnginePace, engines: EngineSpeed): void {
  const readMs = pace.prefillMs(3_000) * engines.promptTokensPerMs;
  const outputMs = pace.outputMs(100) / engines.tokenMs;
  expect(Math.abs(readMs / 3_000 - 1)).toBeLessThan(0.2);
  expect(Math.abs(outputMs / 100 - 1)).toBeLessThan(0.2);
}

describe('EnginePace with learning turned off', () => {
  it('keeps the initial estimates', () => {
    const pace = new EnginePace(false);
    const beforeMs = [pace.prefillMs(1_000), pace.outputMs(100)];
    for (let answer = 0; answer < 200; answer++) {
      pace.notePrefill(1_000, 5_000);
      pace.noteOutput(100, 9_000);
    }
    expect([pace.prefillMs(1_000), pace.outputMs(100)]).toEqual(beforeMs);
  });
});

describe('EnginePace', () => {
  it.each([FAST, SLOW])(
    'learns the pace of engines unlike the initial estimates',
    (engines) => {
      const pace = new EnginePace();
      recordGenerations(pace, engines, 150);
      expectForecasts(pace, engines);
    },
  );

  it('follows engines that slow down and recover', () => {
    const pace = new EnginePace();
    recordGenerations(pace, FAST, 150);
    recordGenerations(pace, SLOW, 150);
    expectForecasts(pace, SLOW);
    recordGenerations(pace, FAST, 150);
    expectForecasts(pace, FAST);
  });

  it('changes little on a single response', () => {
    const pace = new EnginePace();
    const before = pace.prefillMs(3_000);
    pace.notePrefill(3_000, 60_000);
    expect(pace.prefillMs(3_000)).toBeLessThan(before * 1.1);
  });

  it('ignores samples that are too small to reflect the speed of the engine', () => {
    const pace = new EnginePace();
    const [readMs, outputMs] = [pace.prefillMs(3_000), pace.outputMs(100)];
    for (let index = 0; index < 50; index++) {
      pace.notePrefill(20, 50);
      pace.noteOutput(4, 0);
    }
    expect(pace.prefillMs(3_000)).toBe(readMs);
    expect(pace.outputMs(100)).toBe(outputMs);
  });

  it('expects a longer maximum than median time of an output', () => {
    const pace = new EnginePace();
    recordGenerations(pace, FAST, 400);
    expect(pace.maxExpectedOutputMs(100)).toBeGreaterThan(
      pace.outputMs(100) * 1.2,
    );
  });
});
