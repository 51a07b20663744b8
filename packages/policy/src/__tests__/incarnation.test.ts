import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {Succession, succession} from '../incarnation.js';
import type {Life} from '../incarnation.js';

const STARTED_AT_MS = 1_764_000_000_000;

function incarnation(
  startedAtMs: number | undefined,
  place = 'bookings a',
  isLeaving = false,
): Life {
  return {startedAtMs, place, isLeaving};
}

describe('compareIncarnations', () => {
  it('treats the same start as the same incarnation', () => {
    const order = succession(
      incarnation(STARTED_AT_MS),
      incarnation(STARTED_AT_MS),
    );
    expect(order).toBe(Succession.SAME);
  });

  it('treats a later start as a new incarnation', () => {
    const order = succession(
      incarnation(STARTED_AT_MS),
      incarnation(STARTED_AT_MS + 1),
    );
    expect(order).toBe(Succession.LATER);
  });

  it('treats an earlier start as a former incarnation', () => {
    const order = succession(
      incarnation(STARTED_AT_MS),
      incarnation(STARTED_AT_MS - 1),
    );
    expect(order).toBe(Succession.FORMER);
  });

  it('rejects a registration without the start time that was reported before', () => {
    const order = succession(
      incarnation(STARTED_AT_MS),
      incarnation(undefined),
    );
    expect(order).toBe(Succession.UNPROVEN);
  });

  it('compares service and address where no start is reported', () => {
    const known = incarnation(undefined);
    expect(succession(known, incarnation(undefined))).toBe(Succession.SAME);
    const moved = incarnation(undefined, 'bookings b');
    expect(succession(known, moved)).toBe(Succession.LATER);
  });

  it('treats a new address with the same start as a new incarnation', () => {
    const order = succession(
      incarnation(STARTED_AT_MS),
      incarnation(STARTED_AT_MS, 'bookings b'),
    );
    expect(order).toBe(Succession.LATER);
  });

  it('treats a registration from before the leave as outdated', () => {
    const left = incarnation(STARTED_AT_MS, 'bookings a', true);
    expect(succession(left, incarnation(STARTED_AT_MS))).toBe(
      Succession.FORMER,
    );
    expect(succession(left, left)).toBe(Succession.SAME);
    expect(succession(left, incarnation(STARTED_AT_MS + 1))).toBe(
      Succession.LATER,
    );
  });

  it('never returns to an earlier incarnation, in any order of registrations', () => {
    const starts = fc.array(fc.integer({min: 0, max: 9}), {minLength: 1});
    fc.assert(
      fc.property(starts, (reported) => {
        let known = incarnation(reported[0]);
        for (const startedAtMs of reported) {
          const next = incarnation(startedAtMs);
          const isTaken = succession(known, next) === Succession.LATER;
          if (isTaken) known = next;
        }
        expect(known.startedAtMs).toBe(Math.max(...reported));
      }),
      {seed: 7, numRuns: 300},
    );
  });
});
