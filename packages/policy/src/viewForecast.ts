import type {Random} from '@lilacledge/shared';
import {refuseUntil} from './returnTime.js';
import type {Refusal} from './returnTime.js';

/** What a process knows of the store, from which its view of endpoints comes. */
export interface ViewFacts {
  /** How long the store has answered; undefined while it does not. */
  readonly answersForMs: number | undefined;
  /** How long the store has not answered; 0 while it does. */
  readonly awayForMs: number;
  /** Pause between two registrations of an endpoint. */
  readonly heartbeatMs: number;
}

/** What to do with a request for which something is still missing. */
export type ViewDecision =
  {readonly kind: 'wait'; readonly forMs: number} | Refusal;

/**
 * A store that is well answers within this time of a process's start, in
 * milliseconds: 4 ms an answer, and up to a quarter of a second when it is slow.
 */
const FIRST_ANSWER_MS = 300;

/** A request waits only if its endpoint is more likely to come than not. */
const LEAST_CHANCE = 0.5;

/**
 * Decides on a request while no endpoint of its service is known.
 *
 * Answers the pattern of a thundering return after an outage of everything:
 * calls that are refused in the second in which endpoints register again use
 * up their only retry. Each endpoint registers once a heartbeat, so that the
 * first comes at any moment of one heartbeat after the store's return. A caller
 * who stays for the better half of what is left of it is kept; others are told
 * to return after it. While the store is away, an outage is taken to last as
 * long again as it has lasted, and then a heartbeat more.
 */
export function decideWithoutEndpoint(
  facts: ViewFacts,
  patienceMs: number,
  random: Random,
): ViewDecision {
  const {answersForMs, awayForMs, heartbeatMs} = facts;
  if (answersForMs === undefined) {
    return refuseUntil(awayForMs + heartbeatMs, random);
  }
  const leftMs = heartbeatMs - answersForMs;
  // Past the heartbeat nothing is on its way: the service has no endpoint.
  if (leftMs <= 0) return refuseUntil(heartbeatMs, random);
  if (patienceMs < leftMs * LEAST_CHANCE) return refuseUntil(leftMs, random);
  return {kind: 'wait', forMs: Math.min(patienceMs, leftMs)};
}

/**
 * Decides on a request while no configuration is known: right after the start
 * it is on its way, and later the store or the way to it is gone.
 */
export function decideWithoutConfig(
  facts: ViewFacts,
  random: Random,
): ViewDecision {
  const leftMs = FIRST_ANSWER_MS - facts.awayForMs;
  if (leftMs > 0) return {kind: 'wait', forMs: leftMs};
  return refuseUntil(facts.awayForMs + facts.heartbeatMs, random);
}
