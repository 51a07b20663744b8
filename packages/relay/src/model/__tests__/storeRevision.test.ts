import {describe, expect, it} from 'vitest';
import {countInEra, eraOf, isSameEra, toRevision} from '../storeRevision.js';

describe('store revisions', () => {
  it('are the store’s own count before the first restore', () => {
    expect(toRevision(0, 43)).toBe(43);
  });

  it('of a later era follow all revisions of an earlier one', () => {
    expect(toRevision(2, 0)!).toBeGreaterThan(toRevision(1, 2 ** 40 - 1)!);
  });

  it('can be split into era and count', () => {
    const revision = toRevision(8_191, 2 ** 40 - 1)!;
    expect(Number.isSafeInteger(revision)).toBe(true);
    expect(eraOf(revision)).toBe(8_191);
    expect(countInEra(revision)).toBe(2 ** 40 - 1);
  });

  it('are of the same era only if the store was not restored between them', () => {
    expect(isSameEra(toRevision(1, 5)!, toRevision(1, 900)!)).toBe(true);
    expect(isSameEra(toRevision(1, 5)!, toRevision(2, 5)!)).toBe(false);
  });

  it.each([
    [8_192, 0],
    [-1, 0],
    [1.5, 0],
    [0, 2 ** 40],
    [0, -1],
    [0, 0.5],
    [Number.NaN, 0],
  ])('do not exist for era %d and count %d', (era, count) => {
    expect(toRevision(era, count)).toBeUndefined();
  });
});
