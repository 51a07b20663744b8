import {beforeEach, describe, expect, it} from 'vitest';
import {DenialLedger} from '../denialLedger.js';

let ledger: DenialLedger;

beforeEach(() => {
  ledger = new DenialLedger();
});

function answer(count: number, status: number, signature?: string): void {
  for (let index = 0; index < count; index++) {
    ledger.note({
      requestId: `r-${index}`,
      kind: 'booking',
      entry: 'entry-0',
      sentAtMs: 0,
      endedAtMs: 1,
      status,
      isComplete: true,
      body: '',
      signature,
    });
  }
}

describe('DenialLedger', () => {
  it('tolerates five and one in five hundred', () => {
    answer(993, 200, 's-b-1');
    answer(7, 404);
    expect(ledger.violations()).toEqual([]);
  });

  it('reports more, with the first three of them', () => {
    answer(992, 200, 's-b-1');
    answer(8, 404);
    expect(ledger.violations()).toEqual([
      '8 of 1000 requests were denied: r-0 404 at entry-0; r-1 404 at entry-0; r-2 404 at entry-0',
    ]);
  });

  it('counts neither not-run statuses nor failures nor answers of endpoints', () => {
    answer(20, 429);
    answer(20, 503);
    answer(20, 404, 's-b-1');
    expect(ledger.violations()).toEqual([]);
  });
});
