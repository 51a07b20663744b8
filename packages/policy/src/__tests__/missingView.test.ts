import {createRandom} from '@lilacledge/shared';
import {describe, expect, it} from 'vitest';
import {decideWithoutConfig, decideWithoutEndpoint} from '../missingView.js';
import type {ViewFacts} from '../missingView.js';

const HEARTBEAT_MS = 1_200;
const middle = (): number => 0.5;

function reachable(answersForMs: number): ViewFacts {
  return {answersForMs, awayForMs: 0, heartbeatMs: HEARTBEAT_MS};
}

function unreachable(awayForMs: number): ViewFacts {
  return {answersForMs: undefined, awayForMs, heartbeatMs: HEARTBEAT_MS};
}

/**
 * Simulates calls in the first second after the store is reachable again. Callers stay
 * for `maxWaitMs` and retry once after a refusal; endpoints register at
 * `registeredAtMs`. Returns the number of calls that are served.
 */
function servedCalls(
  registeredAtMs: number,
  maxWaitMs: number,
  decide: typeof decideWithoutEndpoint,
): number {
  const random = createRandom(7);
  let served = 0;
  for (let atMs = 0; atMs < 1_000; atMs += 20) {
    const first = decide(reachable(atMs), maxWaitMs, random);
    const waitsUntilMs = first.kind === 'wait' ? atMs + first.forMs : atMs;
    // Callers delay a retry by at most a third of their remaining time.
    const retriesAtMs =
      first.kind === 'refuse'
        ? atMs + Math.min(first.retryAfterMs, maxWaitMs / 3)
        : waitsUntilMs;
    if (registeredAtMs <= Math.max(waitsUntilMs, retriesAtMs)) served++;
  }
  return served;
}

// Guards against refusals while endpoints register again after an outage: calls that
// retry too early use up their only retry.
describe('decideWithoutEndpoint', () => {
  it('serves calls that arrive while endpoints register again', () => {
    const refuseBriefly: typeof decideWithoutEndpoint = () => ({
      kind: 'refuse',
      retryAfterMs: 58,
    });
    expect(servedCalls(700, 950, refuseBriefly)).toBeLessThan(20);
    expect(servedCalls(700, 950, decideWithoutEndpoint)).toBeGreaterThan(35);
  });

  it('refuses immediately if the caller leaves before an endpoint is likely', () => {
    const decision = decideWithoutEndpoint(reachable(0), 300, middle);
    expect(decision).toEqual({kind: 'refuse', retryAfterMs: HEARTBEAT_MS});
  });

  it('refuses immediately if the service has no endpoint', () => {
    const decision = decideWithoutEndpoint(reachable(5_000), 30_000, middle);
    expect(decision.kind).toBe('refuse');
  });

  it('expects an outage to last as long again as it has lasted', () => {
    expect(decideWithoutEndpoint(unreachable(2_000), 30_000, middle)).toEqual({
      kind: 'refuse',
      retryAfterMs: 3_200,
    });
  });

  it('spreads retry times', () => {
    const random = createRandom(3);
    const times = Array.from({length: 50}, () => {
      const decision = decideWithoutEndpoint(
        unreachable(1_000),
        30_000,
        random,
      );
      return decision.kind === 'refuse' ? decision.retryAfterMs : 0;
    });
    expect(new Set(times).size).toBeGreaterThan(40);
    expect(Math.min(...times)).toBeGreaterThan(1_700);
    expect(Math.max(...times)).toBeLessThan(2_700);
  });
});

describe('decideWithoutConfig', () => {
  it('waits right after the start, until the first response is due', () => {
    expect(decideWithoutConfig(unreachable(40), middle)).toEqual({
      kind: 'wait',
      forMs: 260,
    });
  });

  it('refuses once the store has not responded in time', () => {
    expect(decideWithoutConfig(unreachable(800), middle)).toEqual({
      kind: 'refuse',
      retryAfterMs: 2_000,
    });
  });
});
