import {beforeEach, describe, expect, it} from 'vitest';
import {RestLedger} from '../restLedger.js';

const REST_MS = 3_000;

/** By then a rest binds, on a busy machine too. */
const BOUND_MS = 800;

let ledger: RestLedger;
let asked: number;

beforeEach(() => {
  ledger = new RestLedger();
  asked = 0;
  arrive(0, 1, 'entry-0', REST_MS);
});

/** Requests of an entry that reach the endpoint, which may ask for rest. */
function arrive(
  atMs: number,
  count = 1,
  entry = 'entry-0',
  restMs?: number,
): void {
  for (let sent = 0; sent < count; sent++) {
    const requestId = `r-${asked++}`;
    ledger.noteSent(requestId, entry);
    ledger.noteArrival('e-1', requestId, {atMs, restMs});
  }
}

describe('RestLedger', () => {
  it('accepts two requests in a rest', () => {
    arrive(BOUND_MS, 2);
    expect(ledger.violations()).toEqual([]);
    expect(ledger.judgedCount).toBe(1);
  });

  it('tells of a third, with the entry and the endpoint', () => {
    arrive(BOUND_MS, 2);
    arrive(REST_MS - 1);
    expect(ledger.violations()).toEqual([
      'e-1 asked entry-0 for rest and got 3 requests in it, 2 are allowed',
    ]);
  });

  it('accepts what was on its way, and what comes after the rest', () => {
    arrive(BOUND_MS - 100, 20);
    arrive(REST_MS, 20);
    expect(ledger.violations()).toEqual([]);
  });

  it('accepts requests of other entries', () => {
    arrive(BOUND_MS, 20, 'entry-1');
    expect(ledger.violations()).toEqual([]);
  });

  it('accepts requests of the next life of the entry', () => {
    ledger.noteEntryEnded('entry-0', BOUND_MS);
    arrive(BOUND_MS + 1, 20);
    expect(ledger.violations()).toEqual([]);
  });
});
