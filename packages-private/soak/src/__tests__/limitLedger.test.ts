import {beforeEach, describe, expect, it} from 'vitest';
import {LIMIT_WINDOW_MS, LimitLedger} from '../limitLedger.js';

const PER_S = 2;
const ALLOWED = 17;

/** By then, entries must keep the limit that was announced at 0. */
const SETTLED_MS = 4_000;

let ledger: LimitLedger;
let requestCount: number;

beforeEach(() => {
  ledger = new LimitLedger();
  requestCount = 0;
  arrive(1, 0);
  ledger.noteForwarded('r-0', 'e-1', 10);
});

/** Sends requests of an entry that all reach the endpoint at `atMs`. */
function arrive(
  count: number,
  atMs: number,
  entry = 'entry-0',
  perS: number | undefined = PER_S,
): void {
  for (let sent = 0; sent < count; sent++) {
    const requestId = `r-${requestCount++}`;
    ledger.noteSent(requestId, entry);
    ledger.noteArrival('e-1', {atMs, requestId, perS});
  }
}

describe('LimitLedger', () => {
  it('accepts what the rate, the overshoot and the slack allow', () => {
    arrive(ALLOWED, SETTLED_MS);
    expect(ledger.violations()).toEqual([]);
    expect(ledger.judgedCount).toBe(1 + ALLOWED);
  });

  it('reports one more, with the endpoint', () => {
    arrive(ALLOWED, SETTLED_MS);
    arrive(1, SETTLED_MS + LIMIT_WINDOW_MS - 1);
    expect(ledger.violations()).toEqual([
      `e-1 named 2 a second and got ${ALLOWED + 1} requests in 4000 ms, ${ALLOWED} are allowed`,
    ]);
  });

  it('accepts one more in the next window', () => {
    arrive(ALLOWED, SETTLED_MS);
    arrive(1, SETTLED_MS + LIMIT_WINDOW_MS);
    expect(ledger.violations()).toEqual([]);
  });

  it('sums over the entries that have forwarded an announcement', () => {
    arrive(1, 0, 'entry-1');
    ledger.noteForwarded('r-1', 'e-1', 10);
    arrive(ALLOWED, SETTLED_MS);
    arrive(1, SETTLED_MS, 'entry-1');
    expect(ledger.violations()).toHaveLength(1);
  });

  it('does not count an entry that has forwarded no announcement', () => {
    arrive(ALLOWED, SETTLED_MS);
    arrive(20, SETTLED_MS, 'entry-1');
    expect(ledger.violations()).toEqual([]);
  });

  it('does not count an entry that has restarted since', () => {
    ledger.noteEntryEnded('entry-0', SETTLED_MS - 1);
    arrive(ALLOWED + 9, SETTLED_MS);
    expect(ledger.violations()).toEqual([]);
  });

  it('judges nothing once an answer announces no rate', () => {
    arrive(1, SETTLED_MS - 1, 'entry-0', undefined);
    ledger.noteArrival('e-1', {
      atMs: SETTLED_MS - 1,
      requestId: 'free',
      perS: undefined,
    });
    arrive(ALLOWED + 9, SETTLED_MS);
    expect(ledger.violations()).toEqual([]);
  });
});
