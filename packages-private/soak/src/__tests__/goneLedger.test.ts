import {beforeEach, describe, expect, it} from 'vitest';
import {GoneLedger} from '../goneLedger.js';

const LEFT_MS = 1_000;

let ledger: GoneLedger;
let nextId: number;

beforeEach(() => {
  ledger = new GoneLedger();
  nextId = 0;
});

/** A request whose caller left, and the work for it. */
function work(beganAtMs: number, endedAtMs: number, isDone = false): void {
  const id = `r-${nextId++}`;
  if (beganAtMs <= LEFT_MS) ledger.noteBegun(id, beganAtMs);
  ledger.noteLeft(id, LEFT_MS);
  if (beganAtMs > LEFT_MS) ledger.noteBegun(id, beganAtMs);
  ledger.noteEnded(id, endedAtMs, isDone);
}

describe('GoneLedger', () => {
  it('accepts work that is broken off soon', () => {
    for (let count = 0; count < 8; count++) work(500, LEFT_MS + 100);
    expect(ledger.judgedCount).toBe(8);
    expect(ledger.violations()).toEqual([]);
  });

  it('does not judge work that was done soon, or before', () => {
    work(500, LEFT_MS + 100, true);
    work(500, LEFT_MS - 100, true);
    expect(ledger.judgedCount).toBe(0);
  });

  it('tells of more than a quarter that goes on', () => {
    for (let count = 0; count < 3; count++) work(500, LEFT_MS + 100);
    work(500, LEFT_MS + 600);
    expect(ledger.violations()).toEqual([]);
    work(500, LEFT_MS + 600, true);
    expect(ledger.violations()).toEqual([
      '2 of 5 requests were worked on after their callers had left',
    ]);
  });

  it('tells of requests that arrive long after their callers left', () => {
    for (let count = 0; count < 20; count++) work(500, LEFT_MS + 100);
    for (let count = 0; count < 4; count++) work(LEFT_MS + 600, LEFT_MS + 700);
    expect(ledger.violations()).toEqual([
      '4 requests ran later than their callers left',
    ]);
  });

  it('judges nothing beside a disturbance', () => {
    ledger.noteDisturbed(0, LEFT_MS - 500);
    work(500, LEFT_MS + 5_000);
    expect(ledger.judgedCount).toBe(0);
  });
});
