import {createRandom} from '@lilacledge/shared';
import {describe, expect, it} from 'vitest';
import {drawRetryAfter} from '../returnTime.js';

describe('drawRetryAfter', () => {
  // Guards against callers that retry too early, or all at once.
  it('spreads retry times, none of them before the given time', () => {
    const random = createRandom(3);
    const times = Array.from(
      {length: 200},
      () => drawRetryAfter(1_000, random).retryAfterMs,
    );
    expect(Math.min(...times)).toBeGreaterThanOrEqual(1_000);
    expect(Math.max(...times)).toBeLessThanOrEqual(1_200);
    expect(new Set(times).size).toBeGreaterThan(50);
  });
});
