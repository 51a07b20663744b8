import {beforeEach, describe, expect, it} from 'vitest';
import {RequestedBackoff} from '../askedRest.js';

let backoff: RequestedBackoff;

beforeEach(() => {
  backoff = new RequestedBackoff();
});

describe('RequestedBackoff', () => {
  it('ends after the requested time', () => {
    expect(backoff.remainingMs(0)).toBe(0);
    backoff.noteRequest(3_000, 100);
    expect(backoff.remainingMs(1_100)).toBe(2_000);
    expect(backoff.remainingMs(3_100)).toBe(0);
  });

  // Guards against a later rejection with a shorter backoff that ends the current one early.
  it('ends at the latest requested end', () => {
    backoff.noteRequest(3_000, 0);
    backoff.noteRequest(500, 1_000);
    backoff.noteRequest(0, 1_100);
    expect(backoff.remainingMs(1_500)).toBe(1_500);
    backoff.noteRequest(2_000, 2_000);
    expect(backoff.remainingMs(2_000)).toBe(2_000);
  });

  // Guards against all generations of a lost engine continuing at an overloaded endpoint.
  it('allows one continuation during it and any number after it', () => {
    backoff.noteRequest(3_000, 0);
    backoff.noteRequest(3_000, 500);
    const allowed = [600, 700, 800].map((nowMs) => backoff.tryContinue(nowMs));
    expect(allowed).toEqual([true, false, false]);
    expect(backoff.tryContinue(3_500)).toBe(true);
    backoff.noteRequest(1_000, 4_000);
    expect(backoff.tryContinue(4_100)).toBe(true);
  });
});
