import {describe, expect, it} from 'vitest';
import {endsAsPlanned, makesTrial} from '../crashWitness.js';

describe('the end of an endpoint', () => {
  it.each([
    ['it leaves and has said so', true, {hasSaidLeave: true, removedAgoMs: 1}],
    ['it leaves, as others told', true, {}],
    ['its registration went long before', true, {removedAgoMs: 2_000}],
    ['its registration went in the same moment', false, {removedAgoMs: 1}],
  ])('where %s is planned: %s', (_name, isPlanned, changes) => {
    const leave = {isLeaving: true, hasSaidLeave: false, ...changes};
    expect(endsAsPlanned(leave)).toBe(isPlanned);
  });

  it('is not planned of one that stays', () => {
    const leave = {isLeaving: false, hasSaidLeave: false};
    expect(endsAsPlanned(leave)).toBe(false);
  });
});

describe('a trial', () => {
  const members = Array.from({length: 22}, (_, index) => `entry-${index}`);

  it('is made by one entry, whichever the request is', () => {
    const makers = new Set<string>();
    for (let request = 0; request < 200; request++) {
      const chosen = members.filter((self) =>
        makesTrial(`f-${request}`, self, members),
      );
      expect(chosen).toHaveLength(1);
      makers.add(chosen[0]!);
    }
    expect(makers.size).toBeGreaterThan(members.length / 2);
  });

  it('is made by an entry that sees no other', () => {
    expect(makesTrial('f-1', 'entry-1', [])).toBe(true);
  });
});
