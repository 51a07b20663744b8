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
    expect(limit.noteAnswer(stated(5), answer(0, 12))).toBe(LimitChange.RAISED);
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

  describe('is told to other entries', () => {
    it('when it begins and ends', () => {
      const limit = new StatedLimit();
      const begun = limit.noteAnswer(stated(2), answer(0, 10));
      expect(limit.newsOf(begun, 10)).toEqual({perS: 2, ageMs: 0});
      const ended = limit.noteAnswer(NONE, answer(20, 30));
      expect(limit.newsOf(ended, 35)).toEqual({perS: undefined, ageMs: 5});
    });

    // Guards against entries that go on at a higher rate until their own next answer.
    it('when it falls, and only in a while when it rises or stays', () => {
      const limit = new StatedLimit();
      limit.newsOf(limit.noteAnswer(stated(8), answer(0, 0)), 0);
      const lowered = limit.noteAnswer(stated(2), answer(0, 400));
      expect(limit.newsOf(lowered, 400)).toEqual({perS: 2, ageMs: 0});
      const raised = limit.noteAnswer(stated(4), answer(0, 900));
      expect(limit.newsOf(raised, 900)).toBeUndefined();
      const same = limit.noteAnswer(stated(4), answer(0, 10_400));
      expect(limit.newsOf(same, 10_400)).toEqual({perS: 4, ageMs: 0});
    });

    it('and the later word is true', () => {
      const limit = new StatedLimit();
      limit.noteAnswer(stated(2), answer(0, 1_000));
      limit.noteTold({ageMs: 500}, 1_100);
      expect(limit.perS).toBe(2);
      limit.noteTold({perS: 5, ageMs: 0}, 1_200);
      expect(limit.perS).toBe(5);
      limit.noteTold({ageMs: 0}, 1_300);
      expect(limit.perS).toBeUndefined();
      limit.noteTold({perS: 5, ageMs: 200}, 1_400);
      expect(limit.perS).toBeUndefined();
    });
  });
});
