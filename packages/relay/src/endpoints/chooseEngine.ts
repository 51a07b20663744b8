import type {EnginePace} from '@lilacledge/policy';
import type {EngineTraits} from '../model/index.js';
import type {Urgency} from '../requests/callerExchange.js';
import type {Endpoint} from './endpoint.js';
import {engineUse, estimatedUses} from './engineUse.js';
import type {EngineUse, EngineUseContext} from './engineUse.js';

/** Time to the first event that a full engine is worth, against an empty one. */
const FULL_ENGINE_MS = 600;

/** The same for a hop to another availability zone: it costs priced bytes. */
const OTHER_ZONE_MS = 20;

/**
 * The same for an engine in another zone whose sidecar does not report here, as
 * in large fleets: with the load of others unknown, its own zone goes first.
 */
const UNREPORTED_MS = 200;

/** The same for a chance of failure of one. */
const FAILURE_MS = 2_000;

/** The same for a slow start: about what it adds to a prompt's reading. */
const WARMING_MS = 400;

/** The same for a doubt: all others come first, whatever their load. */
const DOUBT_MS = 100_000;

/**
 * Share of its memory that an engine may be filled to by the most urgent new
 * generations; the rest is for their growth. Prompts that wait in its queue count, so
 * that little is left to chance.
 */
const MOST_FILL = 0.97;

/** How much less each step of an organisation's rank may fill. */
const FILL_STEP_OF_ORGANISATION = 0.03;

/**
 * The same for a route's rank: a step is over the 0.02 of an engine by which a short
 * check's prompt is smaller than a draft's, and no more than a small prompt.
 */
const FILL_STEP_OF_ROUTE = 0.05;

/** Steps of urgency that count; all below share the least fill. */
const MOST_STEPS = 2;

/** Part of a leaving engine's memory that is moved; some runs end there. */
const MOVING_SHARE = 0.8;

/** The engine for a generation, and why it was taken. */
export interface EngineChoice {
  readonly endpoint: Endpoint;
  readonly use: EngineUse;
  readonly score: number;
  readonly candidates: number;
}

/** What a choice of an engine looks at. */
export interface EngineChoiceContext extends EngineUseContext {
  /** How fast the service's engines work. */
  readonly pace: EnginePace;
  /** Share of an engine's memory that may be filled. */
  readonly fillLimit: number;
  /** What staying in the zone is worth, when it is more than usual. */
  readonly otherZoneMs?: number;
  /** True for new work, which must not take the room of runs that move. */
  readonly keepsRoomForLeaving?: boolean;
  /** Longest time until the engine begins to read that is of use. */
  readonly maxWaitMs?: number;
}

/**
 * Chooses the engine that is least full once the generation is there; undefined
 * when none has room. Leaving engines get none, nor do disowned ones.
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

/** All engines that have room for the generation, the best first. */
export function rankEngines(
  endpoints: Iterable<Endpoint>,
  traits: EngineTraits,
  needTokens: number,
  excluded: ReadonlySet<string>,
  context: EngineChoiceContext,
): EngineChoice[] {
  const ranked: EngineChoice[] = [];
  let candidates = 0;
  const all = [...endpoints];
  const staying = all.filter(({isCandidate}) => isCandidate);
  const reservedTokens = context.keepsRoomForLeaving
    ? leavingTokens(all, context) / Math.max(1, staying.length)
    : 0;
  const uses = estimatedUses(staying, context);
  for (const endpoint of staying) {
    if (excluded.has(endpoint.id)) continue;
    if (context.accepts?.(endpoint) === false) continue;
    candidates++;
    const use = uses.get(endpoint.id)!;
    const limitTokens = context.fillLimit * traits.memoryTokens;
    if (use.usedTokens + reservedTokens + needTokens > limitTokens) continue;
    const waitMs = context.pace.readMs(use.backlogTokens);
    if (waitMs > (context.maxWaitMs ?? Infinity)) continue;
    const score = engineScore(endpoint, use, traits, needTokens, context);
    ranked.push({endpoint, use, score, candidates: 0});
  }
  ranked.sort((a, b) => a.score - b.score);
  return ranked.map((choice) => ({...choice, candidates}));
}

/** Share of an engine's memory that a new generation may help to fill. */
export function fillLimit(urgency: Urgency): number {
  const organisation = Math.min(MOST_STEPS, urgency.organisation);
  const route = Math.min(MOST_STEPS, urgency.route);
  return (
    MOST_FILL -
    organisation * FILL_STEP_OF_ORGANISATION -
    route * FILL_STEP_OF_ROUTE
  );
}

function engineScore(
  endpoint: Endpoint,
  use: EngineUse,
  traits: EngineTraits,
  needTokens: number,
  context: EngineChoiceContext,
): number {
  const {nowMs, zone, random} = context;
  const fill = (use.usedTokens + needTokens) / traits.memoryTokens;
  let score = predictedFirstEventMs(use, needTokens, context);
  score += fill * FULL_ENGINE_MS;
  score += random() * 5;
  if (endpoint.record.zone !== zone) {
    score += context.otherZoneMs ?? OTHER_ZONE_MS;
    if (use.reportAgeMs === undefined) score += UNREPORTED_MS;
  }
  if (endpoint.isWarming(nowMs)) score += WARMING_MS;
  score += endpoint.health.failureChance * FAILURE_MS;
  if (endpoint.health.isDoubted(nowMs)) score += DOUBT_MS;
  return score;
}

/** Memory of runs that are still at leaving engines and look for room. */
function leavingTokens(
  endpoints: readonly Endpoint[],
  context: EngineUseContext,
): number {
  let tokens = 0;
  for (const endpoint of endpoints) {
    if (!endpoint.isLeaving) continue;
    if ((endpoint.leavesAtMs ?? Infinity) < context.nowMs) continue;
    tokens += engineUse(endpoint, context).usedTokens;
  }
  return tokens * MOVING_SHARE;
}

/** Time until an engine has read what waits there, and this prompt too. */
function predictedFirstEventMs(
  use: EngineUse,
  promptTokens: number,
  {pace}: EngineChoiceContext,
): number {
  return pace.readMs(use.backlogTokens + promptTokens);
}
