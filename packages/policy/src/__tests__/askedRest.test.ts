import {beforeEach, describe, expect, it} from 'vitest';
import {AskedRest} from '../askedRest.js';

let rest: AskedRest;

beforeEach(() => {
  rest = new AskedRest();
});

describe('the rest that an endpoint asked for', () => {
  it('is over at its end', () => {
    expect(rest.leftMs(0)).toBe(0);
    rest.noteAsked(3_000, 100);
    expect(rest.leftMs(1_100)).toBe(2_000);
    expect(rest.leftMs(3_100)).toBe(0);
  });

  // Guards against a later rejection that asks for less and cuts a rest short.
  it('ends with the latest end that was asked for', () => {
    rest.noteAsked(3_000, 0);
    rest.noteAsked(500, 1_000);
    rest.noteAsked(0, 1_100);
    expect(rest.leftMs(1_500)).toBe(1_500);
    rest.noteAsked(2_000, 2_000);
    expect(rest.leftMs(2_000)).toBe(2_000);
  });

  // Guards against runs of a whole engine that go on at one which wants nothing.
  it('lets one run go on in it, and any number after it', () => {
    rest.noteAsked(3_000, 0);
    rest.noteAsked(3_000, 500);
    const allowed = [600, 700, 800].map((nowMs) => rest.tryContinue(nowMs));
    expect(allowed).toEqual([true, false, false]);
    expect(rest.tryContinue(3_500)).toBe(true);
    rest.noteAsked(1_000, 4_000);
    expect(rest.tryContinue(4_100)).toBe(true);
  });
});
