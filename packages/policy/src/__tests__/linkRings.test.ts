import {describe, expect, it} from 'vitest';
import {nextInRings, ringCount} from '../linkRings.js';

function fleetOf(size: number): string[] {
  return Array.from({length: size}, (_, place) => `entry-${place}`);
}

/** All links of a fleet as `from to`. */
function linksOf(names: readonly string[]): Set<string> {
  const links = new Set<string>();
  for (const name of names) {
    for (const next of nextInRings(name, names)) links.add(`${name} ${next}`);
  }
  return links;
}

/** Links that must be dialled when a fleet becomes another one. */
function dialledAnew(
  before: readonly string[],
  after: readonly string[],
): number {
  const known = linksOf(before);
  return [...linksOf(after)].filter((link) => !known.has(link)).length;
}

describe('nextInRings', () => {
  it('links a member to the next in the order of names', () => {
    expect(nextInRings('b', ['a', 'b', 'c']).has('c')).toBe(true);
    expect(nextInRings('c', ['a', 'b', 'c']).has('a')).toBe(true);
  });

  it('links to nobody in a fleet of one', () => {
    expect(nextInRings('a', ['a']).size).toBe(0);
  });

  describe('when the fleet changes', () => {
    it.each([27, 68, 200, 360])(
      'dials a link a ring in all of %i when one goes',
      (size) => {
        const names = fleetOf(size);
        for (const gone of [0, 7, size - 1]) {
          const left = names.filter((_, place) => place !== gone);
          expect(dialledAnew(names, left)).toBeLessThanOrEqual(ringCount(size));
        }
      },
    );

    it('dials no more than a link a ring for each of many that go at once', () => {
      const names = fleetOf(68);
      const left = names.filter((_, place) => place % 3 !== 0);
      const most = ringCount(68) * (68 - left.length);
      expect(dialledAnew(names, left)).toBeLessThanOrEqual(most);
    });

    it('has the same links again when they are back', () => {
      const names = fleetOf(68);
      const shuffled = [...names].reverse();
      expect(linksOf(shuffled)).toEqual(linksOf(names));
    });
  });

  it('gives no member more than two links a ring', () => {
    const counts = new Map<string, number>();
    for (const link of linksOf(fleetOf(360))) {
      for (const end of link.split(' ')) {
        counts.set(end, (counts.get(end) ?? 0) + 1);
      }
    }
    expect(Math.max(...counts.values())).toBeLessThanOrEqual(
      2 * ringCount(360),
    );
  });
});
