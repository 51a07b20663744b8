import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {IncarnationOrder, compareIncarnations} from '../incarnation.js';
import type {Incarnation} from '../incarnation.js';

const STARTED_AT_MS = 1_764_000_000_000;

function incarnation(
  startedAtMs: number | undefined,
  place = 'bookings a',
  isLeaving = false,
): Incarnation {
  return {startedAtMs, location: place, isLeaving};
}

describe('compareIncarnations', () => {
  it('treats the same start as the same incarnation', () => {
    const order = compareIncarnations(
      incarnation(STARTED_AT_MS),
      incarnation(STARTED_AT_MS),
    );
    expect(order).toBe(IncarnationOrder.SAME);
  });

  it('treats a later start as a new incarnation', () => {
    const order = compareIncarnations(
      incarnation(STARTED_AT_MS),
      incarnation(STARTED_AT_MS + 1),
    );
    expect(order).toBe(IncarnationOrder.LATER);
  });

  it('treats an earlier start as a former incarnation', () => {
    const order = compareIncarnations(
      incarnation(STARTED_AT_MS),
      incarnation(STARTED_AT_MS - 1),
    );
    expect(order).toBe(IncarnationOrder.FORMER);
  });

  it('rejects a registration without the start time that was reported before', () => {
    const order = compareIncarnations(
      incarnation(STARTED_AT_MS),
      incarnation(undefined),
    );
    expect(order).toBe(IncarnationOrder.UNPROVEN);
  });

  it('compares service and address where no start is reported', () => {
    const known = incarnation(undefined);
    expect(compareIncarnations(known, incarnation(undefined))).toBe(
      IncarnationOrder.SAME,
    );
    const moved = incarnation(undefined, 'bookings b');
    expect(compareIncarnations(known, moved)).toBe(IncarnationOrder.LATER);
  });

  it('treats a new address with the same start as a new incarnation', () => {
    const order = compareIncarnations(
      incarnation(STARTED_AT_MS),
      incarnation(STARTED_AT_MS, 'bookings b'),
    );
    expect(order).toBe(IncarnationOrder.LATER);
  });

  it('treats a registration from before the leave as outdated', () => {
    const left = incarnation(STARTED_AT_MS, 'bookings a', true);
    expect(compareIncarnations(left, incarnation(STARTED_AT_MS))).toBe(
      IncarnationOrder.FORMER,
    );
    expect(compareIncarnations(left, left)).toBe(IncarnationOrder.SAME);
    expect(compareIncarnations(left, incarnation(STARTED_AT_MS + 1))).toBe(
      IncarnationOrder.LATER,
    );
  });

  it('never returns to an earlier incarnation, in any order of registrations', () => {
    const starts = fc.array(fc.integer({min: 0, max: 9}), {minLength: 1});
    fc.assert(
      fc.property(starts, (reported) => {
        let known = incarnation(reported[0]);
        for (const startedAtMs of reported) {
          const next = incarnation(startedAtMs);
          const isTaken =
            compareIncarnations(known, next) === IncarnationOrder.LATER;
          if (isTaken) known = next;
        }
        expect(known.startedAtMs).toBe(Math.max(...reported));
      }),
      {seed: 7, numRuns: 300},
    );
  });
});
