import {describe, expect, it} from 'vitest';
import {callDuration, mayBegin} from '../shutdownAdmission.js';

/** Times at which calls arrive during a shutdown. */
const ARRIVAL_INTERVAL_MS = 10;

/** Estimate of a service whose other calls are fast. */
const EXPECTED_MS = 160;

interface Shutdown {
  /** Time after which open requests are ended. */
  readonly servesForMs: number;
  /** The route's timeout. */
  readonly timeoutMs: number;
}

interface Result {
  readonly refusedAtMs: readonly number[];
  readonly lostAtMs: readonly number[];
}

/** Simulates calls that take `workMs`, sent during a whole shutdown. */
function sendCalls({servesForMs, timeoutMs}: Shutdown, workMs: number): Result {
  const shutdown = {beganAtMs: 0, endsAtMs: servesForMs};
  const refusedAtMs: number[] = [];
  const lostAtMs: number[] = [];
  for (let nowMs = 0; nowMs < servesForMs; nowMs += ARRIVAL_INTERVAL_MS) {
    const duration = {expectedMs: EXPECTED_MS, longestMs: timeoutMs};
    if (!mayBegin(shutdown, nowMs, duration)) refusedAtMs.push(nowMs);
    else if (nowMs + workMs > servesForMs) lostAtMs.push(nowMs);
  }
  return {refusedAtMs, lostAtMs};
}

const SHUTDOWNS: readonly Shutdown[] = [
  {servesForMs: 1_750, timeoutMs: 800},
  {servesForMs: 4_750, timeoutMs: 1_500},
  {servesForMs: 7_750, timeoutMs: 1_500},
  {servesForMs: 7_750, timeoutMs: 3_000},
  {servesForMs: 7_750, timeoutMs: 39_000},
  {servesForMs: 29_750, timeoutMs: 39_000},
  {servesForMs: 59_750, timeoutMs: 39_000},
];

describe('calls during a shutdown', () => {
  describe.each(SHUTDOWNS)(
    'of $servesForMs ms with a timeout of $timeoutMs ms',
    (shutdown) => {
      const {servesForMs, timeoutMs} = shutdown;
      const certainFromMs = Math.min(2_500, servesForMs / 3);

      // Guards against calls that take longer than usual and are cut by the exit.
      it.each([45, 300, 450, 900, 1_800, 2_900, 38_000])(
        'are not lost after its first part if they take %i ms',
        (workMs) => {
          const {lostAtMs} = sendCalls(shutdown, Math.min(workMs, timeoutMs));
          expect(Math.max(0, ...lostAtMs)).toBeLessThanOrEqual(certainFromMs);
        },
      );

      it('are refused only if their timeout may exceed it', () => {
        const {refusedAtMs} = sendCalls(shutdown, EXPECTED_MS);
        const earliestMs = Math.max(certainFromMs, servesForMs - timeoutMs);
        for (const atMs of refusedAtMs) {
          expect(atMs).toBeGreaterThan(earliestMs - ARRIVAL_INTERVAL_MS);
        }
      });
    },
  );

  it('all begin while no shutdown was requested', () => {
    const none = {beganAtMs: Infinity, endsAtMs: Infinity};
    const duration = {expectedMs: Infinity, longestMs: Infinity};
    expect(mayBegin(none, 0, duration)).toBe(true);
  });
});

describe('the duration of a call', () => {
  const TIME_LEFT_MS = 2_000;

  it('is estimated if the call may run again', () => {
    const call = {timeLeftMs: TIME_LEFT_MS, mayRunAgain: true};
    expect(callDuration({...call, expectedMs: 160})).toEqual({
      expectedMs: 160,
      longestMs: TIME_LEFT_MS,
    });
  });

  // Guards against calls that are lost as they take longer than those before.
  it.each([
    ['the call may not run again', 160, false],
    ['nothing is known of the service', undefined, true],
  ])('is that of the longest call if %s', (_case, expectedMs, mayRunAgain) => {
    const call = {expectedMs, timeLeftMs: TIME_LEFT_MS, mayRunAgain};
    expect(callDuration(call).expectedMs).toBe(TIME_LEFT_MS);
  });
});
