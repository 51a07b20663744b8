import {beforeEach, describe, expect, it} from 'vitest';
import {DeadlineLedger} from '../deadlineLedger.js';

const GIVEN_MS = 5_000;
const MANY = 30;

let ledger: DeadlineLedger;

beforeEach(() => {
  ledger = new DeadlineLedger();
});

/** Many requests, each of which arrives at these times with this much time left. */
function arrive(
  ...arrivals: ReadonlyArray<[number, number | undefined]>
): void {
  for (let count = 0; count < MANY; count++) {
    ledger.noteSent(`r-${count}`, GIVEN_MS);
    for (const [atMs, leftMs] of arrivals) {
      ledger.noteArrival(`r-${count}`, atMs, leftMs);
    }
  }
}

describe('DeadlineLedger', () => {
  it('accepts what is left', () => {
    arrive([10, 4_990], [1_000, 4_000]);
    expect(ledger.violations()).toEqual([]);
    expect(ledger.lateRepeatCount).toBe(MANY);
  });

  it('tells of sends without a time', () => {
    arrive([10, undefined]);
    expect(ledger.violations()).toHaveLength(1);
  });

  it('tells of more time than the caller gave', () => {
    arrive([10, GIVEN_MS + 501]);
    expect(ledger.violations()).toHaveLength(1);
  });

  it('tells of repeats that are given the whole time again', () => {
    arrive([10, 4_990], [1_010, 4_990]);
    expect(ledger.violations()).toHaveLength(1);
  });

  it('bears a few', () => {
    for (let count = 0; count < 20; count++) {
      ledger.noteSent(`r-${count}`, GIVEN_MS);
      ledger.noteArrival(`r-${count}`, 10, undefined);
    }
    expect(ledger.violations()).toEqual([]);
  });
});
