import {describe, expect, it} from 'vitest';
import {isAllowedRegion} from '../homes.js';

describe('isAllowedRegion', () => {
  it.each([
    ['nothing is restricted', undefined, undefined, ['r-1', 'r-2', 'r-3']],
    ['the route is restricted', ['r-1', 'r-2'], undefined, ['r-1', 'r-2']],
    ['the organisation is restricted', undefined, ['r-3'], ['r-3']],
    ['both are restricted', ['r-1', 'r-2'], ['r-2', 'r-3'], ['r-2']],
    ['the restrictions share no region', ['r-1'], ['r-3'], []],
  ])(
    'allows the right regions when %s',
    (_name, route, organisation, expected) => {
      const regions = ['r-1', 'r-2', 'r-3'];
      const allowed = regions.filter((region) =>
        isAllowedRegion(region, [route, organisation]),
      );
      expect(allowed).toEqual(expected);
    },
  );

  it('allows an unknown region only without a restriction', () => {
    expect(isAllowedRegion(undefined, [['r-1'], undefined])).toBe(false);
    expect(isAllowedRegion(undefined, [undefined, undefined])).toBe(true);
  });
});
