import {describe, expect, it} from 'vitest';
import {LimitChange, AnnouncedLimit} from '../statedLimit.js';
import type {LimitAnnouncement, PeerLimitReport} from '../statedLimit.js';

const NO_LIMIT: LimitAnnouncement = {kind: 'none'};

function announced(perS: number): LimitAnnouncement {
  return {kind: 'stated', perS};
}

/** The reporting entry. */
const REPORTER = {self: 'e-1', wallMs: 100};

function report(
  perS: number | undefined,
  ageMs: number,
  version: number,
): PeerLimitReport {
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
    const limit = new AnnouncedLimit();
    expect(limit.perS).toBeUndefined();
    expect(limit.noteResponse(announced(2), answer(0, 10))).toBe(
      LimitChange.BEGUN,
    );
    expect(limit.noteResponse(announced(2), answer(0, 11))).toBe(
      LimitChange.NONE,
    );
    expect(limit.noteResponse(announced(5), answer(0, 12))).toBe(
      LimitChange.RAISED,
    );
    expect(limit.perS).toBe(5);
  });

  it('ends with a response without a limit to a later request', () => {
    const limit = new AnnouncedLimit();
    limit.noteResponse(announced(2), answer(0, 10));
    expect(limit.noteResponse(NO_LIMIT, answer(20, 30))).toBe(
      LimitChange.ENDED,
    );
    expect(limit.perS).toBeUndefined();
  });

  // Guards against a response to an earlier request that arrives late and ends the limit.
  it('is not ended by a late response to an earlier request', () => {
    const limit = new AnnouncedLimit();
    limit.noteResponse(announced(2), answer(0, 10));
    expect(limit.noteResponse(NO_LIMIT, answer(5, 30))).toBe(LimitChange.NONE);
    expect(limit.perS).toBe(2);
  });

  it('is not ended by a rejection or an unreadable announcement', () => {
    const limit = new AnnouncedLimit();
    limit.noteResponse(announced(2), answer(0, 10, true));
    limit.noteResponse(NO_LIMIT, answer(20, 30, true));
    limit.noteResponse({kind: 'unreadable'}, answer(20, 30));
    expect(limit.perS).toBe(2);
  });

  describe('is reported to other entries', () => {
    it('when it begins and ends', () => {
      const limit = new AnnouncedLimit();
      const begun = limit.noteResponse(announced(2), answer(0, 10));
      expect(limit.nextReport(begun, 10, REPORTER)).toEqual(report(2, 0, 100));
      const ended = limit.noteResponse(NO_LIMIT, answer(20, 30));
      expect(limit.nextReport(ended, 35, REPORTER)).toEqual(
        report(undefined, 5, 101),
      );
    });

    // Guards against entries that keep a higher rate until their own next response.
    it('soon when it falls, and at intervals when it rises or stays', () => {
      const limit = new AnnouncedLimit();
      limit.nextReport(
        limit.noteResponse(announced(8), answer(0, 0)),
        0,
        REPORTER,
      );
      const lowered = limit.noteResponse(announced(2), answer(0, 400));
      expect(limit.nextReport(lowered, 400, REPORTER)).toEqual(
        report(2, 0, 101),
      );
      const raised = limit.noteResponse(announced(4), answer(0, 900));
      expect(limit.nextReport(raised, 900, REPORTER)).toBeUndefined();
      const same = limit.noteResponse(announced(4), answer(0, 10_400));
      expect(limit.nextReport(same, 10_400, REPORTER)).toEqual(
        report(4, 0, 102),
      );
    });

    it('where the higher version wins, or the last name among equal versions', () => {
      const limit = new AnnouncedLimit();
      expect(limit.notePeerReport(report(2, 0, 5), 100)).toBe(
        LimitChange.BEGUN,
      );
      expect(
        limit.notePeerReport(report(undefined, 0, 4), 110),
      ).toBeUndefined();
      expect(limit.notePeerReport(report(2, 0, 5), 120)).toBeUndefined();
      const later = {...report(undefined, 0, 5), origin: 'e-2'};
      expect(limit.notePeerReport(later, 130)).toBe(LimitChange.ENDED);
      expect(limit.notePeerReport(report(2, 0, 5), 140)).toBeUndefined();
      expect(limit.perS).toBeUndefined();
    });
  });
});
