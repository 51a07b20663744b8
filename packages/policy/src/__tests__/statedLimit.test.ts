import {describe, expect, it} from 'vitest';
import {LimitChange, StatedLimit} from '../statedLimit.js';
import type {LimitStatement} from '../statedLimit.js';

const NONE: LimitStatement = {kind: 'none'};

function stated(perS: number): LimitStatement {
  return {kind: 'stated', perS};
}

function answer(
  sentMs: number,
  nowMs: number,
  isRejection = false,
): {sentMs: number; nowMs: number; isRejection: boolean} {
  return {sentMs, nowMs, isRejection};
}

describe('the rate that an endpoint says it takes', () => {
  it('holds from the first answer that names it, and changes with the next', () => {
    const limit = new StatedLimit();
    expect(limit.perS).toBeUndefined();
    expect(limit.noteAnswer(stated(2), answer(0, 10))).toBe(LimitChange.BEGUN);
    expect(limit.noteAnswer(stated(2), answer(0, 11))).toBe(LimitChange.NONE);
    expect(limit.noteAnswer(stated(5), answer(0, 12))).toBe(LimitChange.RATE);
    expect(limit.perS).toBe(5);
  });

  it('ends with an answer without one to a request that was sent since', () => {
    const limit = new StatedLimit();
    limit.noteAnswer(stated(2), answer(0, 10));
    expect(limit.noteAnswer(NONE, answer(20, 30))).toBe(LimitChange.ENDED);
    expect(limit.perS).toBeUndefined();
  });

  // Guards against an answer from before the need that arrives after one that names a limit.
  it('outlasts the late answer to a request that was sent before', () => {
    const limit = new StatedLimit();
    limit.noteAnswer(stated(2), answer(0, 10));
    expect(limit.noteAnswer(NONE, answer(5, 30))).toBe(LimitChange.NONE);
    expect(limit.perS).toBe(2);
  });

  it('outlasts a rejection and a text that is no number', () => {
    const limit = new StatedLimit();
    limit.noteAnswer(stated(2), answer(0, 10, true));
    limit.noteAnswer(NONE, answer(20, 30, true));
    limit.noteAnswer({kind: 'unreadable'}, answer(20, 30));
    expect(limit.perS).toBe(2);
  });
});
