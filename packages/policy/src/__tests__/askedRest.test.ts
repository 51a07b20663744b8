import {beforeEach, describe, expect, it} from 'vitest';
import {AskedRest} from '../askedRest.js';

let backoff: AskedRest;

beforeEach(() => {
  backoff = new AskedRest();
});

describe('RequestedBackoff', () => {
  it('ends after the requested time', () => {
    expect(backoff.leftMs(0)).toBe(0);
    backoff.noteAsked(3_000, 100);
    expect(backoff.leftMs(1_100)).toBe(2_000);
    expect(backoff.leftMs(3_100)).toBe(0);
  });

  // Guards against a later rejection with a shorter backoff that ends the current one early.
  it('ends at the latest requested end', () => {
    backoff.noteAsked(3_000, 0);
    backoff.noteAsked(500, 1_000);
    backoff.noteAsked(0, 1_100);
    expect(backoff.leftMs(1_500)).toBe(1_500);
    backoff.noteAsked(2_000, 2_000);
    expect(backoff.leftMs(2_000)).toBe(2_000);
  });

  // Guards against all generations of a lost engine continuing at an overloaded endpoint.
  it('allows one continuation during it and any number after it', () => {
    backoff.noteAsked(3_000, 0);
    backoff.noteAsked(3_000, 500);
    const allowed = [600, 700, 800].map((nowMs) => backoff.tryContinue(nowMs));
    expect(allowed).toEqual([true, false, false]);
    expect(backoff.tryContinue(3_500)).toBe(true);
    backoff.noteAsked(1_000, 4_000);
    expect(backoff.tryContinue(4_100)).toBe(true);
  });
});
