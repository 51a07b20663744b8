import {describe, expect, it} from 'vitest';
import {isPlannedExit, isChosenForTrial} from '../plannedExit.js';

describe('isPlannedExit', () => {
  it.each([
    [
      'it leaves and has registered that',
      true,
      {hasSaidLeave: true, removedAgoMs: 1},
    ],
    ['it leaves, as reported by a peer', true, {}],
    ['its registration was removed long before', true, {removedAgoMs: 2_000}],
    [
      'its registration was removed at the same moment',
      false,
      {removedAgoMs: 1},
    ],
  ])('when %s: %s', (_name, isPlanned, changes) => {
    const leave = {isLeaving: true, hasSaidLeave: false, ...changes};
    expect(isPlannedExit(leave)).toBe(isPlanned);
  });

  it('is false for an endpoint that is not leaving', () => {
    const leave = {isLeaving: false, hasSaidLeave: false};
    expect(isPlannedExit(leave)).toBe(false);
  });
});

describe('isChosenForTrial', () => {
  const members = Array.from({length: 22}, (_, index) => `entry-${index}`);

  it('chooses exactly one entry for each request', () => {
    const makers = new Set<string>();
    for (let request = 0; request < 200; request++) {
      const chosen = members.filter((self) =>
        isChosenForTrial(`f-${request}`, self, members),
      );
      expect(chosen).toHaveLength(1);
      makers.add(chosen[0]!);
    }
    expect(makers.size).toBeGreaterThan(members.length / 2);
  });

  it('chooses an entry that sees no other', () => {
    expect(isChosenForTrial('f-1', 'entry-1', [])).toBe(true);
  });
});
