import {beforeEach, describe, expect, it} from 'vitest';
import {DisconnectLedger} from '../disconnectLedger.js';

const LEFT_MS = 1_000;

let ledger: DisconnectLedger;
let nextId: number;

beforeEach(() => {
  ledger = new DisconnectLedger();
  nextId = 0;
});

/** Records a request whose caller left at `LEFT_MS`, and the work for it. */
function work(beganAtMs: number, endedAtMs: number, isDone = false): void {
  const id = `r-${nextId++}`;
  if (beganAtMs <= LEFT_MS) ledger.noteWorkBegun(id, beganAtMs);
  ledger.noteLeft(id, LEFT_MS);
  if (beganAtMs > LEFT_MS) ledger.noteWorkBegun(id, beganAtMs);
  ledger.noteWorkEnded(id, endedAtMs, isDone);
}

describe('DisconnectLedger', () => {
  it('accepts work that is cancelled soon', () => {
    for (let count = 0; count < 8; count++) work(500, LEFT_MS + 100);
    expect(ledger.judgedCount).toBe(8);
    expect(ledger.violations()).toEqual([]);
  });

  it('does not judge work that is completed soon after, or before, the caller leaves', () => {
    work(500, LEFT_MS + 100, true);
    work(500, LEFT_MS - 100, true);
    expect(ledger.judgedCount).toBe(0);
  });

  it('reports when more than a quarter of the work goes on', () => {
    for (let count = 0; count < 3; count++) work(500, LEFT_MS + 100);
    work(500, LEFT_MS + 600);
    expect(ledger.violations()).toEqual([]);
    work(500, LEFT_MS + 600, true);
    expect(ledger.violations()).toEqual([
      '2 of 5 requests were worked on after their callers had left',
    ]);
  });

  it('reports requests that start long after their callers left', () => {
    for (let count = 0; count < 20; count++) work(500, LEFT_MS + 100);
    for (let count = 0; count < 4; count++) work(LEFT_MS + 600, LEFT_MS + 700);
    expect(ledger.violations()).toEqual([
      '4 requests ran later than their callers left',
    ]);
  });

  it('judges nothing during or soon after a disturbance', () => {
    ledger.noteDisturbed(0, LEFT_MS - 500);
    work(500, LEFT_MS + 5_000);
    expect(ledger.judgedCount).toBe(0);
  });
});
