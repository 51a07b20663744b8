import {createRandom} from '@lilacledge/shared';
import {describe, expect, it} from 'vitest';
import {EnginePace} from '../enginePace.js';

/** Engines of one kind: how fast they work, and how much that varies. */
interface Engines {
  readonly promptTokensPerMs: number;
  readonly tokenMs: number;
}

const FAST: Engines = {promptTokensPerMs: 14, tokenMs: 7};
const SLOW: Engines = {promptTokensPerMs: 2, tokenMs: 40};

/** Lets `count` generations of such engines be seen. */
function see(pace: EnginePace, engines: Engines, count: number): void {
  const random = createRandom(5);
  for (let index = 0; index < count; index++) {
    const promptTokens = 1_000 + Math.floor(random() * 4_000);
    const varied = 0.7 + 0.6 * random();
    pace.noteRead(
      promptTokens,
      (promptTokens / engines.promptTokensPerMs) * varied,
    );
    pace.noteOutput(32, 32 * engines.tokenMs * varied);
  }
}

/** Asserts that forecasts are within a fifth of what such engines take. */
function expectForecasts(pace: EnginePace, engines: Engines): void {
  const readMs = pace.readMs(3_000) * engines.promptTokensPerMs;
  const outputMs = pace.outputMs(100) / engines.tokenMs;
  expect(Math.abs(readMs / 3_000 - 1)).toBeLessThan(0.2);
  expect(Math.abs(outputMs / 100 - 1)).toBeLessThan(0.2);
}

describe('EnginePace that learns nothing', () => {
  it('keeps the assumed pace, whatever answers show', () => {
    const pace = new EnginePace(false);
    const beforeMs = [pace.readMs(1_000), pace.outputMs(100)];
    for (let answer = 0; answer < 200; answer++) {
      pace.noteRead(1_000, 5_000);
      pace.noteOutput(100, 9_000);
    }
    expect([pace.readMs(1_000), pace.outputMs(100)]).toEqual(beforeMs);
  });
});

describe('EnginePace', () => {
  it.each([FAST, SLOW])(
    'learns the pace of engines it never saw',
    (engines) => {
      const pace = new EnginePace();
      see(pace, engines, 150);
      expectForecasts(pace, engines);
    },
  );

  it('follows engines that become slow, and that recover', () => {
    const pace = new EnginePace();
    see(pace, FAST, 150);
    see(pace, SLOW, 150);
    expectForecasts(pace, SLOW);
    see(pace, FAST, 150);
    expectForecasts(pace, FAST);
  });

  it('starts from what is assumed, and no single answer changes it much', () => {
    const pace = new EnginePace();
    const before = pace.readMs(3_000);
    pace.noteRead(3_000, 60_000);
    expect(pace.readMs(3_000)).toBeLessThan(before * 1.1);
  });

  it('leaves out what says more of the way than of the engine', () => {
    const pace = new EnginePace();
    const [readMs, outputMs] = [pace.readMs(3_000), pace.outputMs(100)];
    for (let index = 0; index < 50; index++) {
      pace.noteRead(20, 50);
      pace.noteOutput(4, 0);
    }
    expect(pace.readMs(3_000)).toBe(readMs);
    expect(pace.outputMs(100)).toBe(outputMs);
  });

  it('knows an output that must not be cut to take longer than a usual one', () => {
    const pace = new EnginePace();
    see(pace, FAST, 400);
    expect(pace.longestOutputMs(100)).toBeGreaterThan(pace.outputMs(100) * 1.2);
  });
});
