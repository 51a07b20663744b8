import {createRandom} from '@lilacledge/shared';
import {describe, expect, it} from 'vitest';
import {returnAfter} from '../returnTime.js';

describe('the return of callers whom nothing can serve before a known moment', () => {
  // Guards against callers who come back before it, or all at once.
  it('is spread after that moment, and never before it', () => {
    const random = createRandom(3);
    const times = Array.from(
      {length: 200},
      () => returnAfter(1_000, random).retryAfterMs,
    );
    expect(Math.min(...times)).toBeGreaterThanOrEqual(1_000);
    expect(Math.max(...times)).toBeLessThanOrEqual(1_200);
    expect(new Set(times).size).toBeGreaterThan(50);
  });
});
