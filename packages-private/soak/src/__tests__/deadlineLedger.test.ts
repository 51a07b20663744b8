import {beforeEach, describe, expect, it} from 'vitest';
import {DeadlineLedger} from '../deadlineLedger.js';

const CALLER_TIMEOUT_MS = 5_000;
const REQUEST_COUNT = 30;

let ledger: DeadlineLedger;

beforeEach(() => {
  ledger = new DeadlineLedger();
});

/** Sends many requests, each of which arrives at these times with this much time left. */
function arrive(
  ...arrivals: ReadonlyArray<[number, number | undefined]>
): void {
  for (let count = 0; count < REQUEST_COUNT; count++) {
    ledger.noteSent(`r-${count}`, CALLER_TIMEOUT_MS);
    for (const [atMs, leftMs] of arrivals) {
      ledger.noteArrival(`r-${count}`, atMs, leftMs);
    }
  }
}

describe('DeadlineLedger', () => {
  it('accepts the time that is left', () => {
    arrive([10, 4_990], [1_000, 4_000]);
    expect(ledger.violations()).toEqual([]);
    expect(ledger.lateRetryCount).toBe(REQUEST_COUNT);
  });

  it('reports sends without a time', () => {
    arrive([10, undefined]);
    expect(ledger.violations()).toHaveLength(1);
  });

  it('reports more time than the caller gave', () => {
    arrive([10, CALLER_TIMEOUT_MS + 501]);
    expect(ledger.violations()).toHaveLength(1);
  });

  it('reports retries that are given the whole timeout again', () => {
    arrive([10, 4_990], [1_010, 4_990]);
    expect(ledger.violations()).toHaveLength(1);
  });

  it('tolerates a few', () => {
    for (let count = 0; count < 20; count++) {
      ledger.noteSent(`r-${count}`, CALLER_TIMEOUT_MS);
      ledger.noteArrival(`r-${count}`, 10, undefined);
    }
    expect(ledger.violations()).toEqual([]);
  });
});
