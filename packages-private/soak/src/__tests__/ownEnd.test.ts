import {describe, expect, it} from 'vitest';
import {describeExit, isCausedBySoak} from '../ownEnd.js';
import type {ProgramExit} from '../ownEnd.js';

const KILLED_BY_SIGHUP: ProgramExit = {
  code: null,
  signal: 'SIGHUP',
  ageMs: 300,
  isRestart: true,
  sent: new Set(['SIGHUP']),
};

describe('an unexpected exit', () => {
  it('is attributed to a signal of the soak within a second of a restart', () => {
    expect(isCausedBySoak(KILLED_BY_SIGHUP)).toBe(true);
  });

  it.each<[string, Partial<ProgramExit>]>([
    ['a second after its start', {ageMs: 1_000}],
    ['before any restart of the program', {isRestart: false}],
    ['by a signal that the soak did not send', {sent: new Set()}],
    ['with an exit code', {signal: null, code: 1}],
  ])('is attributed to the program %s', (_name, change) => {
    expect(isCausedBySoak({...KILLED_BY_SIGHUP, ...change})).toBe(false);
  });

  it('is described with its cause and age', () => {
    expect(describeExit('entry-2', KILLED_BY_SIGHUP)).toBe(
      'entry-2 ended by itself: SIGHUP, 300 ms after its start',
    );
  });
});
