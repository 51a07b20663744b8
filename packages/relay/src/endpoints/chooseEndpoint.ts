import type {Random} from '@lilacledge/shared';
import type {Endpoint} from './endpoint.js';

/** Half-life of the weight given to a load that an endpoint reported. */
const LOAD_HALF_LIFE_MS = 250;

/**
 * The slot that the call itself will use; with it, the pace also counts at an endpoint
 * without load.
 */
const CALL_SLOTS = 1;

/** Penalty for an endpoint in another availability zone, in slots of load. */
const OTHER_ZONE_PENALTY_SLOTS = 0.6;

/** Penalty for a failure probability of 1, in slots of load. */
const FAILURE_PENALTY_SLOTS = 4;

/** Penalty that ranks doubted and silent endpoints after all others, whatever their load. */
const DOUBT_PENALTY_SLOTS = 1_000;

/** Penalty for an endpoint that is still slow after its start, in slots of load. */
const WARMING_PENALTY_SLOTS = 2;

/** Inputs of a choice besides the endpoints. */
export interface ChoiceContext {
  readonly zone: string;
  readonly nowMs: number;
  readonly random: Random;
  /** Longest time for which a leaving endpoint may still receive new work. */
  readonly drainMs: number;
  /** From when on an endpoint that owes answers and gives none counts as silent. */
  readonly silentAfterMs?: (endpoint: Endpoint) => number;
  /** False for endpoints that must not serve the request or take no send now. */
  readonly accepts?: (endpoint: Endpoint) => boolean;
}

/** The endpoint chosen for a plain call, with its score. */
export interface CallChoice {
  readonly endpoint: Endpoint;
  readonly score: number;
  readonly candidates: number;
}

/**
 * Chooses the least loaded endpoint that was not tried yet. The load is estimated
 * from this process's open requests and the endpoint's last report. Leaving
 * endpoints are a last resort.
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
    const candidateScore =
      callScore(endpoint, context) + context.random() * 0.1;
    if (candidateScore >= score) continue;
    chosen = endpoint;
    score = candidateScore;
  }
  if (chosen === undefined) return undefined;
  return {endpoint: chosen, score, candidates: candidates.length};
}

/**
 * Load of an endpoint in slots plus penalties; lower is better. At an endpoint with a
 * reported pace, the load and the call itself are multiplied by the pace.
 */
export function callScore(endpoint: Endpoint, context: ChoiceContext): number {
  const {nowMs, zone} = context;
  const {load, health, record} = endpoint;
  let score = endpoint.outstanding;
  if (load !== undefined) {
    const reportWeight = 0.5 ** ((nowMs - load.atMs) / LOAD_HALF_LIFE_MS);
    const others = load.value.running + load.value.waiting;
    score += reportWeight * Math.max(0, others - endpoint.outstanding);
  }
  const pace = endpoint.speed.slowness(nowMs);
  score += (score + CALL_SLOTS) * (pace - 1);
  if (record.zone !== zone) score += OTHER_ZONE_PENALTY_SLOTS;
  if (endpoint.isWarming(nowMs)) score += WARMING_PENALTY_SLOTS;
  score += health.failureProbability * FAILURE_PENALTY_SLOTS;
  const isSilent = isEndpointSilent(endpoint, context);
  if (health.isDoubted(nowMs) || isSilent) score += DOUBT_PENALTY_SLOTS;
  return score;
}

/** True for an endpoint that takes connections but has stopped answering. */
export function isEndpointSilent(
  endpoint: Endpoint,
  {nowMs, silentAfterMs}: Pick<ChoiceContext, 'nowMs' | 'silentAfterMs'>,
): boolean {
  const silentForMs = endpoint.announced.unanswered.silentForMs(nowMs);
  return (
    silentForMs > 0 && silentForMs > (silentAfterMs?.(endpoint) ?? Infinity)
  );
}
