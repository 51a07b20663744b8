import {createRandom} from '@lilacledge/shared';
import {describe, expect, it} from 'vitest';
import {sendShare} from '../sendShare.js';

function entryNames(count: number): string[] {
  return Array.from({length: count}, (_, index) => `entry-${index}`);
}

/** Total sends in a window if each entry uses its whole share. */
function sumOfShares(
  sends: number,
  members: readonly string[],
  peakCount = members.length,
): number {
  return members.reduce(
    (sum, self) => sum + sendShare(sends, self, members, peakCount, 'a'),
    0,
  );
}

const ENTRY_COUNTS = [1, 2, 5, 22, 68, 300];
const SENDS = [2, 7, 38, 200];
const CASES = ENTRY_COUNTS.flatMap((count) =>
  SENDS.map((rate) => [count, rate]),
);

describe('sendShare', () => {
  it.each(CASES)(
    'gives shares that add up to all sends (%i entries, %i sends)',
    (count, rate) => {
      expect(sumOfShares(rate!, entryNames(count!))).toBe(rate);
    },
  );

  it('gives shares that differ by at most one', () => {
    const members = entryNames(22);
    const shares = members.map((self) => sendShare(38, self, members, 22, 'a'));
    expect([...new Set(shares)].sort()).toEqual([1, 2]);
  });

  it('chooses different entries for different endpoints if sends are scarce', () => {
    const members = entryNames(68);
    const entriesWithShare = (endpointId: string): string[] =>
      members.filter((self) => sendShare(2, self, members, 68, endpointId) > 0);
    const all = new Set(
      entryNames(60).flatMap((endpointId) => entriesWithShare(endpointId)),
    );
    expect(entriesWithShare('a')).toHaveLength(2);
    expect(all.size).toBeGreaterThan(30);
  });

  it('counts an entry that does not see itself yet', () => {
    expect(sendShare(8, 'new', entryNames(3), 3, 'a')).toBe(2);
  });

  it.each(CASES)(
    'bounds the sum when half of the entries are partitioned (%i, %i)',
    (count, rate) => {
      const members = entryNames(count!);
      const partitioned = members.slice(0, Math.floor(count! / 2));
      const seen = members.slice(partitioned.length);
      // The registrations of the partitioned entries are gone; these still see all others.
      const sent =
        sumOfShares(rate!, seen, count) +
        partitioned.reduce(
          (sum, self) => sum + sendShare(rate!, self, members, count!, 'a'),
          0,
        );
      expect(sent).toBeLessThanOrEqual(1.5 * rate! + 5);
    },
  );

  it('bounds the sum when views differ by a few entries', () => {
    const random = createRandom(1);
    for (const [count, rate] of CASES) {
      const members = entryNames(count!);
      const sent = members.reduce((sum, self) => {
        const view = members.filter((name) => name === self || random() > 0.05);
        return sum + sendShare(rate!, self, view, count!, 'a');
      }, 0);
      expect(sent).toBeLessThanOrEqual(1.5 * rate! + 5);
    }
  });
});
