import {describe, expect, it} from 'vitest';
import {isCutByStop} from '../cutByStop.js';
import type {Attempt} from '../soakEvent.js';

const STOPPED_MS = 10_000;

/** A draft that was sent before the stop and cut off after it. */
const CUT: Attempt = {
  requestId: 'r-1',
  kind: 'draft',
  entry: 'entry-0',
  sentAtMs: 8_000,
  endedAtMs: 11_000,
  status: 200,
  isComplete: false,
  body: '',
};

describe('isCutByStop', () => {
  it('is true for an answer that is incomplete or missing', () => {
    expect(isCutByStop(CUT, STOPPED_MS)).toBe(true);
    expect(isCutByStop({...CUT, status: 0}, STOPPED_MS)).toBe(true);
  });

  it('is false for a complete answer', () => {
    expect(isCutByStop({...CUT, isComplete: true}, STOPPED_MS)).toBe(false);
  });

  it.each([
    ['draft', 5_000],
    ['booking', 2_000],
  ] as const)(
    'is false for what the timeout of its route ended (%s)',
    (kind, timeoutMs) => {
      const sentAtMs = STOPPED_MS - 100;
      const endedAtMs = sentAtMs + timeoutMs;
      const atTimeout = {...CUT, kind, sentAtMs, endedAtMs};
      expect(isCutByStop(atTimeout, STOPPED_MS)).toBe(false);
    },
  );

  it('is true just before that timeout', () => {
    const sentAtMs = STOPPED_MS - 100;
    const booking = {...CUT, kind: 'booking', sentAtMs} as const;
    const atMs = sentAtMs + 1_999;
    expect(isCutByStop({...booking, endedAtMs: atMs}, STOPPED_MS)).toBe(true);
  });

  it('is false for a draft sent soon after the stop that ends in the last sixth of the grace', () => {
    const late = {...CUT, sentAtMs: STOPPED_MS + 100, endedAtMs: 13_400};
    expect(isCutByStop(late, STOPPED_MS)).toBe(false);
  });
});
