import {beforeEach, describe, expect, it} from 'vitest';
import {RepeatLedger, RETRY_WINDOW_MS} from '../repeatLedger.js';

const RETRY_SLACK = 50;

let ledger: RepeatLedger;

beforeEach(() => {
  ledger = new RepeatLedger();
  ledger.retrySlack = RETRY_SLACK;
});

/** Records one request that reaches endpoints `sends` times at `atMs`. */
function arrive(sends: number, atMs: number, service = 'drafts'): void {
  for (let send = 0; send < sends; send++) {
    ledger.noteArrival(service, `${service} ${atMs}`, atMs);
  }
}

describe('RepeatLedger', () => {
  it('counts nothing for the first arrival of each request', () => {
    for (let atMs = 0; atMs < 500; atMs++) arrive(1, atMs);
    expect(ledger.count).toBe(0);
    expect(ledger.violations()).toEqual([]);
  });

  it('accepts the whole slack in one window', () => {
    arrive(1 + RETRY_SLACK, 1_000);
    expect(ledger.violations()).toEqual([]);
  });

  it('reports one more, with the service', () => {
    arrive(1 + RETRY_SLACK, 1_000);
    arrive(2, 1_000 + RETRY_WINDOW_MS - 1);
    const [violation, ...others] = ledger.violations();
    expect(violation).toContain(`drafts: ${RETRY_SLACK + 1} sends`);
    expect(others).toEqual([]);
  });

  it('accepts one more in the next window', () => {
    arrive(1 + RETRY_SLACK, 1_000);
    arrive(2, 1_000 + RETRY_WINDOW_MS);
    expect(ledger.violations()).toEqual([]);
  });

  it('counts each service separately', () => {
    arrive(1 + RETRY_SLACK, 1_000);
    arrive(1 + RETRY_SLACK, 1_000, 'bookings');
    expect(ledger.violations()).toEqual([]);
  });

  it('also allows a fifth of the requests of this or the previous window', () => {
    for (let count = 0; count < 10; count++) ledger.noteRequest('drafts', 0);
    arrive(1 + RETRY_SLACK + 2, RETRY_WINDOW_MS - 1);
    expect(ledger.violations()).toEqual([]);
    arrive(2, RETRY_WINDOW_MS);
    expect(ledger.violations()).toHaveLength(1);
  });

  // Guards against runs of two builds that can't be compared, as none of them exceeds its budget.
  it('shows the worst window of each service that keeps to its budget', () => {
    for (let count = 0; count < 10; count++) ledger.noteRequest('drafts', 0);
    arrive(4, RETRY_WINDOW_MS - 1);
    arrive(3, 3 * RETRY_WINDOW_MS);
    arrive(2, 0, 'bookings');
    expect(ledger.worstWindows()).toEqual([
      {service: 'drafts', repeats: 2, allowed: RETRY_SLACK, late: 0},
      {service: 'bookings', repeats: 1, allowed: RETRY_SLACK, late: 0},
    ]);
  });

  // Guards against windows that don't tell sends that waited on the way from all others.
  it('shows how many of them came long after their callers sent them', () => {
    ledger.noteRequest('drafts', 0, 'r-1');
    for (const atMs of [10, 20, 1_020]) {
      ledger.noteArrival('drafts', 'r-1', atMs);
    }
    const [worst] = ledger.worstWindows();
    expect(worst).toMatchObject({repeats: 2, late: 1});
  });
});
