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
  it('finds no violation in a stream that keeps the promises', () => {
    const verdict = judgeEvents(linesOf(SENT, RUN));
    expect(verdict.violations).toEqual([]);
    expect(verdict.events).toBe(2);
  });

  it('reports the violation in one that does not', () => {
    const verdict = judgeEvents(linesOf(SENT, RUN, RUN));
    expect(verdict.violations).toEqual(['booking r1 ran 2 times']);
  });

  it('lists judges that had no events to check', () => {
    const {idleJudges} = judgeEvents(linesOf(SENT, RUN));
    expect(idleJudges).toContain('repeats');
    expect(idleJudges).not.toContain('runs');
  });

  describe('with an invalid stream', () => {
    it.each([
      ['an incomplete line', JSON.stringify(RUN).slice(0, 30)],
      ['an unknown event type', '{"type": "unknown"}'],
      ['null', 'null'],
      ['a missing field', '{"type": "sent", "atMs": 0, "kind": "draft"}'],
      ['a field of the wrong type', JSON.stringify({...RUN, atMs: 'soon'})],
      ['a value that is not allowed', JSON.stringify({...SENT, kind: 'song'})],
      [
        'a second kind for one request',
        JSON.stringify({...SENT, kind: 'draft'}),
      ],
      [
        'the end of a run that never began',
        '{"type": "runEnded", "atMs": 5, "requestId": "r2", "isDone": true}',
      ],
    ])('names the line that has %s', (_name, bad) => {
      const lines = [...linesOf(SENT, RUN), bad];
      expect(() => judgeEvents(lines)).toThrow(/^line 3: /);
    });
  });
});
