import type {Random} from '@lilacledge/shared';
import type {Endpoint} from './endpoint.js';

/** A load that an endpoint told loses half of its weight in this time. */
const LOAD_HALF_LIFE_MS = 250;

/** Slots' worth of load that a hop to another availability zone is worth. */
const OTHER_ZONE_SLOTS = 0.6;

/** Slots' worth of load that a chance of failure of one is worth. */
const FAILURE_SLOTS = 4;

/** Doubted endpoints come after all others, however loaded these are. */
const DOUBT_SLOTS = 1_000;

/** Slots' worth of load that a slow start is worth. */
const WARMING_SLOTS = 2;

/** What a choice looks at besides the endpoints. */
export interface ChoiceContext {
  readonly zone: string;
  readonly nowMs: number;
  readonly random: Random;
  /** Longest time in which a leaving endpoint may still get work. */
  readonly drainMs: number;
  /** Leaves endpoints out that may not serve, or bear no send now. */
  readonly accepts?: (endpoint: Endpoint) => boolean;
}

/** The endpoint for a plain call and why it was taken. */
export interface CallChoice {
  readonly endpoint: Endpoint;
  readonly score: number;
  readonly candidates: number;
}

/**
 * Chooses the endpoint with the least load, as this process's own open
 * requests and the endpoint's own last count show it, among those that were
 * not tried. Leaving endpoints are a last resort.
 */
export function chooseForCall(
  endpoints: Iterable<Endpoint>,
  tried: ReadonlySet<string>,
  context: ChoiceContext,
): CallChoice | undefined {
  const {nowMs, drainMs, accepts = () => true} = context;
  const untried = [...endpoints].filter(
    (endpoint) => !tried.has(endpoint.id) && accepts(endpoint),
  );
  const staying = untried.filter(({isCandidate}) => isCandidate);
  const candidates =
    staying.length > 0
      ? staying
      : untried.filter((endpoint) => endpoint.mayGetWork(nowMs, drainMs));
  let chosen: Endpoint | undefined;
  let score = Number.POSITIVE_INFINITY;
  for (const endpoint of candidates) {
    const own = callScore(endpoint, context) + context.random() * 0.1;
    if (own >= score) continue;
    chosen = endpoint;
    score = own;
  }
  if (chosen === undefined) return undefined;
  return {endpoint: chosen, score, candidates: candidates.length};
}

/** Load of an endpoint in slots, with what else speaks against it. */
export function callScore(endpoint: Endpoint, context: ChoiceContext): number {
  const {nowMs, zone} = context;
  const {load, health, record} = endpoint;
  let score = endpoint.outstanding;
  if (load !== undefined) {
    const trust = 0.5 ** ((nowMs - load.atMs) / LOAD_HALF_LIFE_MS);
    const others = load.value.running + load.value.waiting;
    score += trust * Math.max(0, others - endpoint.outstanding);
  }
  if (record.zone !== zone) score += OTHER_ZONE_SLOTS;
  if (endpoint.isWarming(nowMs)) score += WARMING_SLOTS;
  score += health.failureChance * FAILURE_SLOTS;
  if (health.isDoubted(nowMs)) score += DOUBT_SLOTS;
  return score;
}
