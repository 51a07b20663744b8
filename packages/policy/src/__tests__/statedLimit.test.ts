import {describe, expect, it} from 'vitest';
import {LimitChange, StatedLimit} from '../statedLimit.js';
import type {LimitStatement, ToldLimit} from '../statedLimit.js';

const NO_LIMIT: LimitStatement = {kind: 'none'};

function announced(perS: number): LimitStatement {
  return {kind: 'stated', perS};
}

/** The reporting entry. */
const REPORTER = {self: 'e-1', wallMs: 100};

function report(
  perS: number | undefined,
  ageMs: number,
  version: number,
): ToldLimit {
  return {perS, ageMs, version, origin: 'e-1'};
}

function answer(
  sentMs: number,
  nowMs: number,
  isRejection = false,
): {sentMs: number; nowMs: number; isRejection: boolean} {
  return {sentMs, nowMs, isRejection};
}

describe('AnnouncedLimit', () => {
  it('starts with the first announcement and changes with the next', () => {
    const limit = new StatedLimit();
    expect(limit.perS).toBeUndefined();
    expect(limit.noteAnswer(announced(2), answer(0, 10))).toBe(
      LimitChange.BEGUN,
    );
    expect(limit.noteAnswer(announced(2), answer(0, 11))).toBe(
      LimitChange.NONE,
    );
    expect(limit.noteAnswer(announced(5), answer(0, 12))).toBe(
      LimitChange.RAISED,
    );
    expect(limit.perS).toBe(5);
  });

  it('ends with a response without a limit to a later request', () => {
    const limit = new StatedLimit();
    limit.noteAnswer(announced(2), answer(0, 10));
    expect(limit.noteAnswer(NO_LIMIT, answer(20, 30))).toBe(LimitChange.ENDED);
    expect(limit.perS).toBeUndefined();
  });

  // Guards against a response to an earlier request that arrives late and ends the limit.
  it('is not ended by a late response to an earlier request', () => {
    const limit = new StatedLimit();
    limit.noteAnswer(announced(2), answer(0, 10));
    expect(limit.noteAnswer(NO_LIMIT, answer(5, 30))).toBe(LimitChange.NONE);
    expect(limit.perS).toBe(2);
  });

  it('is not ended by a rejection or an unreadable announcement', () => {
    const limit = new StatedLimit();
    limit.noteAnswer(announced(2), answer(0, 10, true));
    limit.noteAnswer(NO_LIMIT, answer(20, 30, true));
    limit.noteAnswer({kind: 'unreadable'}, answer(20, 30));
    expect(limit.perS).toBe(2);
  });

  describe('is reported to other entries', () => {
    it('when it begins and ends', () => {
      const limit = new StatedLimit();
      const begun = limit.noteAnswer(announced(2), answer(0, 10));
      expect(limit.newsOf(begun, 10, REPORTER)).toEqual(report(2, 0, 100));
      const ended = limit.noteAnswer(NO_LIMIT, answer(20, 30));
      expect(limit.newsOf(ended, 35, REPORTER)).toEqual(
        report(undefined, 5, 101),
      );
    });

    // Guards against entries that keep a higher rate until their own next response.
    it('soon when it falls, and at intervals when it rises or stays', () => {
      const limit = new StatedLimit();
      limit.newsOf(limit.noteAnswer(announced(8), answer(0, 0)), 0, REPORTER);
      const lowered = limit.noteAnswer(announced(2), answer(0, 400));
      expect(limit.newsOf(lowered, 400, REPORTER)).toEqual(report(2, 0, 101));
      const raised = limit.noteAnswer(announced(4), answer(0, 900));
      expect(limit.newsOf(raised, 900, REPORTER)).toBeUndefined();
      const same = limit.noteAnswer(announced(4), answer(0, 10_400));
      expect(limit.newsOf(same, 10_400, REPORTER)).toEqual(report(4, 0, 102));
    });

    it('where the higher version wins, or the last name among equal versions', () => {
      const limit = new StatedLimit();
      expect(limit.noteTold(report(2, 0, 5), 100)).toBe(LimitChange.BEGUN);
      expect(limit.noteTold(report(undefined, 0, 4), 110)).toBeUndefined();
      expect(limit.noteTold(report(2, 0, 5), 120)).toBeUndefined();
      const later = {...report(undefined, 0, 5), origin: 'e-2'};
      expect(limit.noteTold(later, 130)).toBe(LimitChange.ENDED);
      expect(limit.noteTold(report(2, 0, 5), 140)).toBeUndefined();
      expect(limit.perS).toBeUndefined();
    });
  });
});
