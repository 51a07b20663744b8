import {describe, expect, it} from 'vitest';
import {judgeEvents} from '../judgeEvents.js';
import type {SoakEvent} from '../soakEvent.js';

const SENT: SoakEvent = {
  type: 'sent',
  atMs: 0,
  requestId: 'r1',
  kind: 'booking',
};

const RUN: SoakEvent = {
  type: 'run',
  requestId: 'r1',
  endpointId: 'e-1',
  atMs: 1,
  isContinued: false,
  organisation: 'yard',
  hasKey: false,
};

function linesOf(...events: readonly SoakEvent[]): string[] {
  return events.map((event) => JSON.stringify(event));
}

describe('judgeEvents', () => {
  it('finds nothing in a stream that holds', () => {
    const verdict = judgeEvents(linesOf(SENT, RUN));
    expect(verdict.violations).toEqual([]);
    expect(verdict.events).toBe(2);
  });

  it('finds what is broken in one that does not', () => {
    const verdict = judgeEvents(linesOf(SENT, RUN, RUN));
    expect(verdict.violations).toEqual(['booking r1 ran 2 times']);
  });

  it('names judges that saw nothing to judge', () => {
    const {idleJudges} = judgeEvents(linesOf(SENT, RUN));
    expect(idleJudges).toContain('repeats');
    expect(idleJudges).not.toContain('runs');
  });

  describe('of a stream that is bad', () => {
    it.each([
      ['a line that ends in the middle', JSON.stringify(RUN).slice(0, 30)],
      ['no event', '{"type": "unknown"}'],
      ['null', 'null'],
      ['a missing field', '{"type": "sent", "atMs": 0, "kind": "draft"}'],
      ['a field of another type', JSON.stringify({...RUN, atMs: 'soon'})],
      ['a word that is none', JSON.stringify({...SENT, kind: 'song'})],
      ['two kinds of one request', JSON.stringify({...SENT, kind: 'draft'})],
      [
        'the end of what never began',
        '{"type": "runEnded", "atMs": 5, "requestId": "r2", "isDone": true}',
      ],
    ])('names the line with %s', (_name, bad) => {
      const lines = [...linesOf(SENT, RUN), bad];
      expect(() => judgeEvents(lines)).toThrow(/^line 3: /);
    });
  });
});
