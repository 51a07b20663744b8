import {describe, expect, it} from 'vitest';
import {ringSuccessors, ringCount} from '../linkRings.js';

function createNames(size: number): string[] {
  return Array.from({length: size}, (_, index) => `entry-${index}`);
}

/** All links of a fleet, each as `from to`. */
function linksOf(names: readonly string[]): Set<string> {
  const links = new Set<string>();
  for (const name of names) {
    for (const to of ringSuccessors(name, names)) links.add(`${name} ${to}`);
  }
  return links;
}

/** Number of links that must be dialled when the members change. */
function countDialled(
  before: readonly string[],
  after: readonly string[],
): number {
  const known = linksOf(before);
  return [...linksOf(after)].filter((link) => !known.has(link)).length;
}

describe('ringSuccessors', () => {
  it('links a member to its successor by name', () => {
    expect(ringSuccessors('b', ['a', 'b', 'c']).has('c')).toBe(true);
    expect(ringSuccessors('c', ['a', 'b', 'c']).has('a')).toBe(true);
  });

  it('has no links in a fleet of one', () => {
    expect(ringSuccessors('a', ['a']).size).toBe(0);
  });

  // Guards against reconnection storms: one member more or less must not replace links
  // all over the fleet.
  describe('when members change', () => {
    it.each([27, 68, 200, 360])(
      'dials at most one link per ring in a fleet of %i when one member leaves',
      (size) => {
        const names = createNames(size);
        for (const leaverIndex of [0, 7, size - 1]) {
          const remaining = names.filter((_, index) => index !== leaverIndex);
          expect(countDialled(names, remaining)).toBeLessThanOrEqual(
            ringCount(size),
          );
        }
      },
    );

    it('dials at most one link per ring for each of many members that leave at once', () => {
      const names = createNames(68);
      const remaining = names.filter((_, index) => index % 3 !== 0);
      const maxDialled = ringCount(68) * (68 - remaining.length);
      expect(countDialled(names, remaining)).toBeLessThanOrEqual(maxDialled);
    });

    it('has the same links in whatever order members are listed', () => {
      const names = createNames(68);
      const shuffled = [...names].reverse();
      expect(linksOf(shuffled)).toEqual(linksOf(names));
    });
  });

  it('gives no member more than two links per ring', () => {
    const counts = new Map<string, number>();
    for (const link of linksOf(createNames(360))) {
      for (const end of link.split(' ')) {
        counts.set(end, (counts.get(end) ?? 0) + 1);
      }
    }
    expect(Math.max(...counts.values())).toBeLessThanOrEqual(
      2 * ringCount(360),
    );
  });
});
