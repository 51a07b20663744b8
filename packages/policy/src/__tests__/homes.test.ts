import {describe, expect, it} from 'vitest';
import {isHome} from '../homes.js';

describe('the regions that requests are bound to', () => {
  it.each([
    ['neither has homes', undefined, undefined, ['r-1', 'r-2', 'r-3']],
    ['the route has', ['r-1', 'r-2'], undefined, ['r-1', 'r-2']],
    ['the organisation has', undefined, ['r-3'], ['r-3']],
    ['both have', ['r-1', 'r-2'], ['r-2', 'r-3'], ['r-2']],
    ['they have none in common', ['r-1'], ['r-3'], []],
  ])('are right when %s', (_name, route, organisation, expected) => {
    const regions = ['r-1', 'r-2', 'r-3'];
    const allowed = regions.filter((region) =>
      isHome(region, [route, organisation]),
    );
    expect(allowed).toEqual(expected);
  });

  it('do not hold a region that nobody knows', () => {
    expect(isHome(undefined, [['r-1'], undefined])).toBe(false);
    expect(isHome(undefined, [undefined, undefined])).toBe(true);
  });
});
