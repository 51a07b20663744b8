import {beforeEach, describe, expect, it} from 'vitest';
import {DRAIN_MS} from '../leaveLedger.js';
import {SaidLeaveLedger} from '../saidLeaveLedger.js';

/** After this time nothing may be sent there, on a busy machine too. */
const LATE_MS = DRAIN_MS + 300;

let ledger: SaidLeaveLedger;
let asked: number;

beforeEach(() => {
  ledger = new SaidLeaveLedger();
  asked = 0;
});

/** A request of an entry that reaches the endpoint at once, and is answered. */
function ask(atMs: number, entry = 'entry-0', saysLeaving = true): void {
  const requestId = `r-${asked++}`;
  ledger.noteSent(requestId, entry, atMs);
  ledger.noteArrival({endpointId: 'e-1', requestId, atMs, saysLeaving});
  ledger.notePassedOn(requestId, 'e-1', atMs);
}

describe('SaidLeaveLedger', () => {
  it('accepts what is sent before the bound', () => {
    ask(0);
    ask(DRAIN_MS);
    expect(ledger.violations()).toEqual([]);
    expect(ledger.judgedCount).toBe(2);
  });

  it('tells of what is sent after it, with the entry', () => {
    ask(0);
    ask(LATE_MS);
    expect(ledger.violations()).toEqual([
      `r-1 reached e-1 from entry-0, sent ${LATE_MS} ms after its answer said that it leaves`,
    ]);
  });

  it('accepts what another entry sends, or this one in its next life', () => {
    ask(0);
    ask(LATE_MS, 'entry-1');
    ledger.noteEntryEnded('entry-0', LATE_MS);
    ask(LATE_MS + 1);
    expect(ledger.violations()).toEqual([]);
  });

  it('accepts what is sent to an endpoint that says nothing', () => {
    ask(0, 'entry-0', false);
    ask(LATE_MS, 'entry-0', false);
    expect(ledger.violations()).toEqual([]);
    expect(ledger.judgedCount).toBe(0);
  });
});
