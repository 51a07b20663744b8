import {describe, expect, it} from 'vitest';
import {batchDelayMs, ViewState} from '../watchPace.js';

const DRAIN_MS = 2_000;

/** Delay from the last of `count` registrations until all are known. */
function delayUntilAllKnown(view: ViewState, count: number): number {
  const registeredMs = Array.from({length: count}, (_, index) => index * 40);
  let knownAtMs = 0;
  let watchAtMs = 0;
  while (registeredMs.some((atMs) => atMs > knownAtMs)) {
    // A watch returns all registrations so far; the next one starts after the pause.
    knownAtMs = watchAtMs;
    watchAtMs += Math.max(1, batchDelayMs(DRAIN_MS, view));
  }
  return knownAtMs - registeredMs.at(-1)!;
}

// Guards against a slow recovery from a complete outage: while endpoints register one
// by one, the settled pause after the first would delay the discovery of all others.
describe('batchDelayMs', () => {
  it('batches changes for a share of the drain bound', () => {
    expect(batchDelayMs(DRAIN_MS, ViewState.SETTLED)).toBe(600);
  });

  it('does not wait while a service has no endpoint', () => {
    expect(batchDelayMs(DRAIN_MS, ViewState.INCOMPLETE)).toBe(0);
  });

  it('discovers all endpoints after an outage within a fifth of the settled pause', () => {
    expect(delayUntilAllKnown(ViewState.RECOVERING, 14)).toBeLessThan(130);
    expect(delayUntilAllKnown(ViewState.INCOMPLETE, 14)).toBeLessThan(10);
  });

  it('waits no longer than a settled view if the bound is tight', () => {
    expect(batchDelayMs(200, ViewState.RECOVERING)).toBe(60);
  });
});
