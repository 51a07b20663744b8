import {describe, expect, it} from 'vitest';
import {isCutByStop} from '../cutByStop.js';
import type {Attempt} from '../soakEvent.js';

const STOPPED_MS = 10_000;

/** A draft that was sent before the stop and broke off after it. */
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

describe('an answer that ends after its entry was told to stop', () => {
  it('is cut by the stop where it breaks off, or never comes', () => {
    expect(isCutByStop(CUT, STOPPED_MS)).toBe(true);
    expect(isCutByStop({...CUT, status: 0}, STOPPED_MS)).toBe(true);
  });

  it('is not where it is whole', () => {
    expect(isCutByStop({...CUT, isComplete: true}, STOPPED_MS)).toBe(false);
  });

  it.each([
    ['draft', 5_000],
    ['booking', 2_000],
  ] as const)('is not at the timeout of its route (%s)', (kind, timeoutMs) => {
    const sentAtMs = STOPPED_MS - 100;
    const endedAtMs = sentAtMs + timeoutMs;
    const atTimeout = {...CUT, kind, sentAtMs, endedAtMs};
    expect(isCutByStop(atTimeout, STOPPED_MS)).toBe(false);
  });

  it('is a moment before that timeout', () => {
    const sentAtMs = STOPPED_MS - 100;
    const booking = {...CUT, kind: 'booking', sentAtMs} as const;
    const atMs = sentAtMs + 1_999;
    expect(isCutByStop({...booking, endedAtMs: atMs}, STOPPED_MS)).toBe(true);
  });

  it('is not where it was sent soon after the stop and ends in its last sixth', () => {
    const late = {...CUT, sentAtMs: STOPPED_MS + 100, endedAtMs: 13_400};
    expect(isCutByStop(late, STOPPED_MS)).toBe(false);
  });
});
