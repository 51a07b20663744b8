import {describe, expect, it} from 'vitest';
import {gatherMs, ViewState} from '../watchPace.js';

const DRAIN_MS = 2_000;

/** Delay from the first of `count` registrations until all are known. */
function delayUntilAllKnown(view: ViewState, count: number): number {
  const registeredMs = Array.from({length: count}, (_, index) => index * 40);
  let knownAtMs = 0;
  let lookMs = 0;
  while (registeredMs.some((atMs) => atMs > knownAtMs)) {
    // The watch answers with all that came, and is asked again after the pause.
    knownAtMs = lookMs;
    lookMs += Math.max(1, gatherMs(DRAIN_MS, view));
  }
  return knownAtMs - registeredMs.at(-1)!;
}

describe('gatherMs', () => {
  it('lets changes gather for part of the drain bound', () => {
    expect(gatherMs(DRAIN_MS, ViewState.SETTLED)).toBe(600);
  });

  it('never waits while a service has no endpoint', () => {
    expect(gatherMs(DRAIN_MS, ViewState.LACKING)).toBe(0);
  });

  it('knows all returning endpoints within a fifth of the settled pause', () => {
    expect(delayUntilAllKnown(ViewState.UNSETTLED, 14)).toBeLessThan(130);
    expect(delayUntilAllKnown(ViewState.LACKING, 14)).toBeLessThan(10);
  });

  it('waits no longer than settled under a tight bound', () => {
    expect(gatherMs(200, ViewState.UNSETTLED)).toBe(60);
  });
});
