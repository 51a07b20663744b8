import {hasMemoryFor} from '@lilacledge/policy';
import type {EnginePace, MemoryDemand} from '@lilacledge/policy';
import type {EngineTraits} from '../model/index.js';
import type {Urgency} from '../requests/callerExchange.js';
import type {Endpoint} from './endpoint.js';
import {EngineTimes} from './engineTimes.js';
import type {EventOutlook} from './engineTimes.js';
import {engineUse, estimatedUses, tokensAhead} from './engineUse.js';
import type {EngineUse, EngineUseContext} from './engineUse.js';

/** Penalty for a full engine over an empty one, as time to the first event. */
const FULL_ENGINE_PENALTY_MS = 600;

/** Penalty for an engine in another availability zone: traffic between zones costs money. */
const OTHER_ZONE_PENALTY_MS = 20;

/**
 * Additional penalty for an engine in another zone whose sidecar does not report to
 * this entry, as in large fleets. Its load is unknown, so the own zone is preferred.
 */
const UNREPORTED_PENALTY_MS = 200;

/** Penalty for a failure probability of 1, and for a certain pause over the goal. */
const FAILURE_PENALTY_MS = 2_000;

/** Penalty for a slow start: roughly the time that it adds to the prefill of a prompt. */
const WARMING_PENALTY_MS = 400;

/** Penalty that ranks doubted engines after all others, whatever their load. */
const DOUBT_PENALTY_MS = 100_000;

/**
 * Share of an engine's memory that the most urgent new generations may fill. The
 * rest is reserved for the growth of generations; it can be small because queued
 * prompts are counted as used memory.
 */
const MAX_FILL_SHARE = 0.97;

/** How much less memory may be filled for each rank of the organisation. */
const ORGANISATION_RANK_STEP = 0.03;

/**
 * How much less memory may be filled for each rank of the route. The step exceeds
 * 0.02, the share of an engine by which a short check's prompt is smaller than a
 * draft's prompt, and is at most the share of a small prompt.
 */
const ROUTE_RANK_STEP = 0.05;

/** Highest rank that lowers the limit; less urgent ranks share the limit of this rank. */
const MAX_RANK = 2;

/** Share of a leaving engine's memory expected to be moved; other runs end before. */
const MOVED_SHARE = 0.8;

/** Why an engine cannot take a generation now. */
export const EngineObstacle = {
  /** It must get no new work, or the request must not be sent there. */
  NOT_PERMITTED: 'notPermitted',
  /** The generation does not fit into its free memory. */
  MEMORY: 'memory',
  /** Its queued prompts take too long to prefill. */
  PREFILL_WAIT: 'prefillWait',
} as const;
export type EngineObstacle =
  (typeof EngineObstacle)[keyof typeof EngineObstacle];

/** Number of engines by the obstacle that keeps them from taking a generation. */
export type ObstacleCounts = Readonly<Record<EngineObstacle, number>>;

const NO_WAIT = {usualPromptTokens: 0, waitedShare: 0};

/** An engine that has room for a generation, with its score. */
export interface EngineChoice {
  readonly endpoint: Endpoint;
  readonly use: EngineUse;
  readonly score: number;
  readonly candidates: number;
  /** How many times as long as at a usual engine work takes there now. */
  readonly slowness: number;
  /** Probability that the run has a pause over the goal of its route there. */
  readonly missChance: number;
}

/** Inputs of a choice of an engine. */
export interface EngineChoiceContext extends EngineUseContext {
  /** Speed of a usual engine of the service. */
  readonly pace: EnginePace;
  /** The events of the run; absent if its pauses do not matter. */
  readonly events?: EventOutlook;
  /** Share of an engine's memory that may be in use, including this generation. */
  readonly fillLimit: number;
  /** Replaces the default penalty for engines in another zone. */
  readonly otherZoneMs?: number;
  /** True for new work, which must leave room for runs that move from leaving engines. */
  readonly keepsRoomForLeaving?: boolean;
  /** How long the generation has waited for room; absent for runs that move. */
  readonly wait?: Omit<MemoryDemand, 'tokens'>;
  /** True if engines prefill the prompt before those of routes that can wait. */
  readonly isUrgent?: boolean;
  /** Lengthens the wait for the backlog by that for prompts that arrive later but go first. */
  readonly overtakenFactor?: number;
  /** Longest acceptable wait until an engine with these times begins to prefill the prompt. */
  readonly maxWaitMs?: (times: EngineTimes) => number;
}

/**
 * Chooses the best-ranked engine with room for the generation; undefined if none has
 * room. Engines that are leaving or have an invalid registration are not considered.
 */
export function chooseEngine(
  endpoints: Iterable<Endpoint>,
  traits: EngineTraits,
  needTokens: number,
  excluded: ReadonlySet<string>,
  context: EngineChoiceContext,
): EngineChoice | undefined {
  return rankEngines(endpoints, traits, needTokens, excluded, context)[0];
}

/** Ranks all engines that have room for the generation, best first. */
export function rankEngines(
  endpoints: Iterable<Endpoint>,
  traits: EngineTraits,
  needTokens: number,
  excluded: ReadonlySet<string>,
  context: EngineChoiceContext,
): EngineChoice[] {
  const views = viewEngines(endpoints, traits, needTokens, excluded, context);
  const permitted = views.filter(
    ({obstacle}) => obstacle !== EngineObstacle.NOT_PERMITTED,
  );
  const candidates = permitted.length;
  return permitted
    .filter(({obstacle}) => obstacle === undefined)
    .map((view) => {
      const {endpoint, use, times} = view;
      const missChance = context.events ? times.missChance(context.events) : 0;
      const score =
        engineScore(view, traits, needTokens, context) +
        missChance * FAILURE_PENALTY_MS;
      const {slowness} = times;
      return {endpoint, use, score, candidates, slowness, missChance};
    })
    .sort((a, b) => a.score - b.score);
}

/** Counts the engines that stay but cannot take the generation, by obstacle. */
export function countObstacles(
  endpoints: Iterable<Endpoint>,
  traits: EngineTraits,
  needTokens: number,
  excluded: ReadonlySet<string>,
  context: EngineChoiceContext,
): ObstacleCounts {
  const counts = {notPermitted: 0, memory: 0, prefillWait: 0};
  for (const {obstacle} of viewEngines(
    endpoints,
    traits,
    needTokens,
    excluded,
    context,
  )) {
    if (obstacle !== undefined) counts[obstacle]++;
  }
  return counts;
}

/** A staying engine as seen by one generation. */
interface EngineView {
  readonly endpoint: Endpoint;
  readonly use: EngineUse;
  readonly times: EngineTimes;
  /** Undefined if the engine can take the generation. */
  readonly obstacle: EngineObstacle | undefined;
}

function viewEngines(
  endpoints: Iterable<Endpoint>,
  traits: EngineTraits,
  needTokens: number,
  excluded: ReadonlySet<string>,
  context: EngineChoiceContext,
): EngineView[] {
  const all = [...endpoints];
  const staying = all.filter(({isCandidate}) => isCandidate);
  const reservedTokens = context.keepsRoomForLeaving
    ? tokensLeftToMove(all, context) / Math.max(1, staying.length)
    : 0;
  const usableTokens = context.fillLimit * traits.memoryTokens - reservedTokens;
  const demand = {tokens: needTokens, ...(context.wait ?? NO_WAIT)};
  const uses = estimatedUses(staying, context);
  const obstacleAt = (
    endpoint: Endpoint,
    use: EngineUse,
    times: EngineTimes,
  ): EngineObstacle | undefined => {
    const isPermitted =
      !excluded.has(endpoint.id) && context.accepts?.(endpoint) !== false;
    if (!isPermitted) return EngineObstacle.NOT_PERMITTED;
    const memory = {usedTokens: use.usedTokens, usableTokens};
    if (!hasMemoryFor(memory, demand)) return EngineObstacle.MEMORY;
    const waitMs = prefillWaitMs(use, times, context);
    const isTooLong = waitMs > (context.maxWaitMs?.(times) ?? Infinity);
    return isTooLong ? EngineObstacle.PREFILL_WAIT : undefined;
  };
  return staying.map((endpoint) => {
    const use = uses.get(endpoint.id)!;
    const times = timesAt(endpoint, traits, context);
    return {endpoint, use, times, obstacle: obstacleAt(endpoint, use, times)};
  });
}

/**
 * Share of an engine's memory that may be in use after admitting a new generation.
 * `reserveShare` replaces the step by rank of the route where engines order routes.
 */
export function fillLimit(urgency: Urgency, reserveShare?: number): number {
  const organisation = Math.min(MAX_RANK, urgency.organisation);
  const route = Math.min(MAX_RANK, urgency.route);
  return (
    MAX_FILL_SHARE -
    organisation * ORGANISATION_RANK_STEP -
    (reserveShare ?? route * ROUTE_RANK_STEP)
  );
}

function timesAt(
  {speed}: Endpoint,
  {tokensPerEvent}: EngineTraits,
  {pace, nowMs}: EngineChoiceContext,
): EngineTimes {
  return new EngineTimes({pace, speed, nowMs, tokensPerEvent});
}

function engineScore(
  {endpoint, use, times}: EngineView,
  traits: EngineTraits,
  needTokens: number,
  context: EngineChoiceContext,
): number {
  const {nowMs, zone, random} = context;
  const fill = (use.usedTokens + needTokens) / traits.memoryTokens;
  // Time to prefill the backlog ahead of this prompt, and the prompt.
  let score = prefillWaitMs(use, times, context) + times.prefillMs(needTokens);
  score += fill * FULL_ENGINE_PENALTY_MS;
  score += random() * 5;
  if (endpoint.record.zone !== zone) {
    score += context.otherZoneMs ?? OTHER_ZONE_PENALTY_MS;
    if (use.reportAgeMs === undefined) score += UNREPORTED_PENALTY_MS;
  }
  if (endpoint.isWarming(nowMs)) score += WARMING_PENALTY_MS;
  score += endpoint.health.failureProbability * FAILURE_PENALTY_MS;
  if (endpoint.health.isDoubted(nowMs)) score += DOUBT_PENALTY_MS;
  return score;
}

/** Estimated memory of runs that still have to move from leaving engines. */
function tokensLeftToMove(
  endpoints: readonly Endpoint[],
  context: EngineUseContext,
): number {
  let tokens = 0;
  for (const endpoint of endpoints) {
    if (!endpoint.isLeaving) continue;
    if ((endpoint.leavesAtMs ?? Infinity) < context.nowMs) continue;
    tokens += engineUse(endpoint, context).usedTokens;
  }
  return tokens * MOVED_SHARE;
}

/** Time until the engine begins to prefill a new prompt. */
function prefillWaitMs(
  use: EngineUse,
  times: EngineTimes,
  {isUrgent, overtakenFactor = 1}: EngineChoiceContext,
): number {
  return times.prefillMs(tokensAhead(use, isUrgent)) * overtakenFactor;
}
