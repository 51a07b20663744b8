import {describe, expect, it} from 'vitest';
import {isCompleteEnd} from '../streamEnd.js';
import type {OrderlyEnd} from '../streamEnd.js';

const EMPTY: OrderlyEnd = {
  isDelimitedByClose: true,
  hasEvents: false,
  callerHasEvents: false,
  emptyEnds: 1,
};

// Guards against an empty rest of a stream that looks complete although its engine ended.
describe('isCompleteEnd', () => {
  it.each([
    ['a stream that states its end', {isDelimitedByClose: false}, true],
    ['a stream with events', {hasEvents: true}, true],
    ['an empty stream', {}, false],
    ['a second empty stream', {emptyEnds: 2}, false],
    ['an empty rest', {callerHasEvents: true}, false],
    ['a second empty rest', {callerHasEvents: true, emptyEnds: 2}, true],
  ] as const)('judges %s', (_name, changes, isComplete) => {
    expect(isCompleteEnd({...EMPTY, ...changes})).toBe(isComplete);
  });
});
