import {beforeEach, describe, expect, it} from 'vitest';
import {DRAIN_MS} from '../leaveLedger.js';
import {SaidLeaveLedger} from '../saidLeaveLedger.js';

/** By then nothing may be sent to the endpoint, even on a busy machine. */
const LATE_MS = DRAIN_MS + 300;

let ledger: SaidLeaveLedger;
let requestCount: number;

beforeEach(() => {
  ledger = new SaidLeaveLedger();
  requestCount = 0;
});

/** Sends a request of an entry that the endpoint answers at once. */
function send(atMs: number, entry = 'entry-0', saysLeaving = true): void {
  const requestId = `r-${requestCount++}`;
  ledger.noteSent(requestId, entry, atMs);
  ledger.noteArrival({endpointId: 'e-1', requestId, atMs, saysLeaving});
  ledger.noteForwarded(requestId, 'e-1', atMs);
}

describe('SaidLeaveLedger', () => {
  it('accepts requests within the bound', () => {
    send(0);
    send(DRAIN_MS);
    expect(ledger.violations()).toEqual([]);
    expect(ledger.judgedCount).toBe(2);
  });

  it('reports requests after it, with the entry', () => {
    send(0);
    send(LATE_MS);
    expect(ledger.violations()).toEqual([
      `r-1 reached e-1 from entry-0, sent ${LATE_MS} ms after its answer said that it leaves`,
    ]);
  });

  it('accepts requests of another entry, or of this one after a restart', () => {
    send(0);
    send(LATE_MS, 'entry-1');
    ledger.noteEntryEnded('entry-0', LATE_MS);
    send(LATE_MS + 1);
    expect(ledger.violations()).toEqual([]);
  });

  it('accepts requests to an endpoint that announces nothing', () => {
    send(0, 'entry-0', false);
    send(LATE_MS, 'entry-0', false);
    expect(ledger.violations()).toEqual([]);
    expect(ledger.judgedCount).toBe(0);
  });
});
