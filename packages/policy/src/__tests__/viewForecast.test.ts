import {createRandom} from '@lilacledge/shared';
import {describe, expect, it} from 'vitest';
import {decideWithoutConfig, decideWithoutEndpoint} from '../viewForecast.js';
import type {ViewFacts} from '../viewForecast.js';

const HEARTBEAT_MS = 1_200;
const middle = (): number => 0.5;

function answering(answersForMs: number): ViewFacts {
  return {answersForMs, awayForMs: 0, heartbeatMs: HEARTBEAT_MS};
}

function away(awayForMs: number): ViewFacts {
  return {answersForMs: undefined, awayForMs, heartbeatMs: HEARTBEAT_MS};
}

/**
 * Calls come for a second after the store's return and stay for `patienceMs`;
 * endpoints are back at `backAtMs`. Returns how many are answered, if each that
 * is refused comes back once.
 */
function servedCalls(
  backAtMs: number,
  patienceMs: number,
  decide: typeof decideWithoutEndpoint,
): number {
  const random = createRandom(7);
  let served = 0;
  for (let atMs = 0; atMs < 1_000; atMs += 20) {
    const first = decide(answering(atMs), patienceMs, random);
    const waitsUntilMs = first.kind === 'wait' ? atMs + first.forMs : atMs;
    // Callers honour a return time up to a third of the time they have left.
    const returnsAtMs =
      first.kind === 'refuse'
        ? atMs + Math.min(first.retryAfterMs, patienceMs / 3)
        : waitsUntilMs;
    if (backAtMs <= Math.max(waitsUntilMs, returnsAtMs)) served++;
  }
  return served;
}

describe('decideWithoutEndpoint', () => {
  it('serves calls that came while endpoints were returning', () => {
    const refuseSoon: typeof decideWithoutEndpoint = () => ({
      kind: 'refuse',
      retryAfterMs: 58,
    });
    expect(servedCalls(700, 950, refuseSoon)).toBeLessThan(20);
    expect(servedCalls(700, 950, decideWithoutEndpoint)).toBeGreaterThan(35);
  });

  it('refuses at once who leaves before an endpoint is likely', () => {
    const decision = decideWithoutEndpoint(answering(0), 300, middle);
    expect(decision).toEqual({kind: 'refuse', retryAfterMs: HEARTBEAT_MS});
  });

  it('refuses at once for a service that has none', () => {
    const decision = decideWithoutEndpoint(answering(5_000), 30_000, middle);
    expect(decision.kind).toBe('refuse');
  });

  it('expects an outage to last as long again as it has', () => {
    expect(decideWithoutEndpoint(away(2_000), 30_000, middle)).toEqual({
      kind: 'refuse',
      retryAfterMs: 3_200,
    });
  });

  it('spreads return times', () => {
    const random = createRandom(3);
    const times = Array.from({length: 50}, () => {
      const decision = decideWithoutEndpoint(away(1_000), 30_000, random);
      return decision.kind === 'refuse' ? decision.retryAfterMs : 0;
    });
    expect(new Set(times).size).toBeGreaterThan(40);
    expect(Math.min(...times)).toBeGreaterThan(1_700);
    expect(Math.max(...times)).toBeLessThan(2_700);
  });
});

describe('decideWithoutConfig', () => {
  it('waits right after the start, while the first answer is due', () => {
    expect(decideWithoutConfig(away(40), middle)).toEqual({
      kind: 'wait',
      forMs: 260,
    });
  });

  it('refuses once the store does not answer', () => {
    expect(decideWithoutConfig(away(800), middle)).toEqual({
      kind: 'refuse',
      retryAfterMs: 2_000,
    });
  });
});
