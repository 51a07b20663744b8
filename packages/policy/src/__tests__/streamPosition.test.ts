import {describe, expect, it} from 'vitest';
import {
  callerHasEvents,
  canContinue,
  continuedPosition,
  lastEventIdOf,
  positionAfter,
  positionOf,
} from '../streamPosition.js';
import type {StreamPosition} from '../streamPosition.js';

const LOST: StreamPosition = {kind: 'lost'};

describe('positionOf', () => {
  it.each([
    [undefined, 'beginning', false],
    ['0', 'after', false],
    ['7', 'after', true],
    [' 7 ', 'after', true],
    ['999999999999999', 'after', true],
    ['9999999999999999', 'opaque', true],
    ['', 'opaque', true],
    ['-1', 'opaque', true],
    ['7.0', 'opaque', true],
    ['0x7', 'opaque', true],
  ] as const)('reads %s as %s', (text, kind, hasEvents) => {
    const position = positionOf(text);
    expect(position.kind).toBe(kind);
    expect(callerHasEvents(position)).toBe(hasEvents);
    expect(canContinue(position)).toBe(true);
    expect(lastEventIdOf(position)).toBe(text?.trim());
  });
});

describe('continuedPosition', () => {
  it('is after event 0 for a caller without an event', () => {
    expect(lastEventIdOf(continuedPosition(positionOf(undefined)))).toBe('0');
  });

  it.each(['3', 'abc'])('is that of the caller after %s', (text) => {
    expect(lastEventIdOf(continuedPosition(positionOf(text)))).toBe(text);
  });
});

// Guards against pieces that come twice or are left out where two runs of a stream meet.
describe('positionAfter', () => {
  it.each([
    ['the next event', '3', '4', '4'],
    ['the next event with zeros in front', '3', '004', '004'],
    ['any first event of a stream', undefined, '9', '9'],
    ['any first event after an id that is not a number', 'abc', '9', '9'],
  ] as const)('accepts %s', (_name, from, id, lastEventId) => {
    const next = positionAfter(positionOf(from), {id, hasData: true});
    expect(next && lastEventIdOf(next)).toBe(lastEventId);
  });

  it.each([
    ['an event that comes twice', '3', '3'],
    ['an earlier event', '3', '1'],
    ['an event after a gap', '3', '5'],
    ['an id that is not a number', '3', 'four'],
    ['an empty id', '3', ''],
  ] as const)('rejects %s', (_name, from, id) => {
    const next = positionAfter(positionOf(from), {id, hasData: true});
    expect(next).toBeUndefined();
  });

  it.each([undefined, '3', 'abc'])(
    'can no longer be told after an event without an id (after %s)',
    (from) => {
      const next = positionAfter(positionOf(from), {hasData: true})!;
      expect(next).toEqual(LOST);
      expect(canContinue(next)).toBe(false);
      expect(lastEventIdOf(next)).toBeUndefined();
    },
  );

  it('can be told again after an event with an id', () => {
    const next = positionAfter(LOST, {id: '5', hasData: true});
    expect(next).toEqual(positionOf('5'));
  });

  it('is not changed by a comment', () => {
    const position = positionOf('3');
    expect(positionAfter(position, {hasData: false})).toBe(position);
  });
});
