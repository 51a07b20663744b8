import type {Random} from '@lilacledge/shared';
import {drawRetryAround} from './returnTime.js';
import type {Refusal} from './returnTime.js';

/** State of a process's connection to the store, the source of its endpoint list. */
export interface ViewFacts {
  /** How long the store has been reachable; undefined while it is not. */
  readonly answersForMs: number | undefined;
  /** How long the store has been unreachable; 0 while it is reachable. */
  readonly awayForMs: number;
  /** Interval at which an endpoint renews its registration. */
  readonly heartbeatMs: number;
}

/** What to do with a request while the endpoints or configuration are unknown. */
export type ViewDecision =
  {readonly kind: 'wait'; readonly forMs: number} | Refusal;

/**
 * Time from a process's start within which a healthy store has responded. A response
 * takes 4 ms, and up to 250 ms from a slow store.
 */
const MAX_FIRST_RESPONSE_MS = 300;

/** A request waits only if an endpoint is more likely to register than not. */
const MIN_CHANCE = 0.5;

/**
 * Decides whether a request waits while no endpoint of its service is known.
 *
 * Prevents a thundering herd after a complete outage: calls that are refused in the
 * second in which endpoints register again use up their only retry. Each endpoint
 * registers once per heartbeat, so the first registration comes at any time within one
 * heartbeat after the store is reachable again. A request waits if its caller stays
 * for at least half of the rest of that heartbeat; others are told to retry after it.
 * While the store is unreachable, the outage is expected to last as long again as it
 * has lasted, plus one heartbeat.
 */
export function decideWithoutEndpoint(
  facts: ViewFacts,
  maxWaitMs: number,
  random: Random,
): ViewDecision {
  const {answersForMs, awayForMs, heartbeatMs} = facts;
  if (answersForMs === undefined) {
    return drawRetryAround(awayForMs + heartbeatMs, random);
  }
  const leftMs = heartbeatMs - answersForMs;
  // All endpoints would have registered by now: the service has none.
  if (leftMs <= 0) return drawRetryAround(heartbeatMs, random);
  if (maxWaitMs < leftMs * MIN_CHANCE) return drawRetryAround(leftMs, random);
  return {kind: 'wait', forMs: Math.min(maxWaitMs, leftMs)};
}

/**
 * Decides whether a request waits while no configuration is known. Right after the
 * process's start the configuration is still being loaded; later on, the store is
 * unreachable.
 */
export function decideWithoutConfig(
  facts: ViewFacts,
  random: Random,
): ViewDecision {
  const leftMs = MAX_FIRST_RESPONSE_MS - facts.awayForMs;
  if (leftMs > 0) return {kind: 'wait', forMs: leftMs};
  return drawRetryAround(facts.awayForMs + facts.heartbeatMs, random);
}
