import {beforeEach, describe, expect, it} from 'vitest';
import {RestLedger} from '../restLedger.js';

const REST_MS = 3_000;

/** By then an entry must keep a backoff, even on a busy machine. */
const IN_FORCE_MS = 800;

let ledger: RestLedger;
let requestCount: number;

beforeEach(() => {
  ledger = new RestLedger();
  requestCount = 0;
  arrive(0, 1, 'entry-0', REST_MS);
});

/** Sends requests of an entry to the endpoint, which may request a backoff. */
function arrive(
  atMs: number,
  count = 1,
  entry = 'entry-0',
  restMs?: number,
): void {
  for (let sent = 0; sent < count; sent++) {
    const requestId = `r-${requestCount++}`;
    ledger.noteSent(requestId, entry);
    ledger.noteArrival('e-1', requestId, {atMs, restMs});
  }
}

describe('RestLedger', () => {
  it('accepts two requests in a backoff', () => {
    arrive(IN_FORCE_MS, 2);
    expect(ledger.violations()).toEqual([]);
    expect(ledger.judgedCount).toBe(1);
  });

  it('reports a third, with the entry and the endpoint', () => {
    arrive(IN_FORCE_MS, 2);
    arrive(REST_MS - 1);
    expect(ledger.violations()).toEqual([
      'e-1 asked entry-0 for rest and got 3 requests in it, 2 are allowed',
    ]);
  });

  it('accepts requests in flight at the rejection, and those after the backoff', () => {
    arrive(IN_FORCE_MS - 100, 20);
    arrive(REST_MS, 20);
    expect(ledger.violations()).toEqual([]);
  });

  it('accepts requests of other entries', () => {
    arrive(IN_FORCE_MS, 20, 'entry-1');
    expect(ledger.violations()).toEqual([]);
  });

  it('accepts requests of the restarted entry', () => {
    ledger.noteEntryEnded('entry-0', IN_FORCE_MS);
    arrive(IN_FORCE_MS + 1, 20);
    expect(ledger.violations()).toEqual([]);
  });
});
