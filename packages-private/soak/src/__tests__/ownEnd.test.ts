import {describe, expect, it} from 'vitest';
import {describeEnd, isBroughtAbout} from '../ownEnd.js';
import type {ProgramEnd} from '../ownEnd.js';

const BY_HANGUP: ProgramEnd = {
  code: null,
  signal: 'SIGHUP',
  ageMs: 300,
  isRestart: true,
  sent: new Set(['SIGHUP']),
};

describe('an end that nobody asked for', () => {
  it('is put down to a signal of the soak within a second of a disruption', () => {
    expect(isBroughtAbout(BY_HANGUP)).toBe(true);
  });

  it.each<[string, Partial<ProgramEnd>]>([
    ['a second after its start', {ageMs: 1_000}],
    ['in the first life of the program', {isRestart: false}],
    ['by a signal that nobody sent', {sent: new Set()}],
    ['by a code', {signal: null, code: 1}],
  ])('is the program’s own %s', (_name, change) => {
    expect(isBroughtAbout({...BY_HANGUP, ...change})).toBe(false);
  });

  it('is told with its cause and age', () => {
    expect(describeEnd('entry-2', BY_HANGUP)).toBe(
      'entry-2 ended by itself: SIGHUP, 300 ms after its start',
    );
  });
});
