import {countObstacles} from '../endpoints/chooseEngine.js';
import type {EngineChoiceContext} from '../endpoints/chooseEngine.js';
import {estimatedUses, tokensAhead} from '../endpoints/engineUse.js';
import type {EngineTraits} from '../model/index.js';
import type {Admission} from './admissionQueue.js';
import type {CallerExchange, Urgency} from './callerExchange.js';
import {engineTimesAt} from './relayContext.js';
import type {RelayContext} from './relayContext.js';

type NoRoomRefusal = Extract<Admission<unknown>, {kind: 'refused'}>;

/** A generation that found no room, and what was considered. */
export interface NoRoomDetails {
  readonly traits: EngineTraits;
  readonly promptTokens: number;
  readonly needTokens: number;
  readonly urgency: Urgency;
  /** Share of an engine that is kept for urgent generations, where engines order routes. */
  readonly reserveShare: number | undefined;
  readonly refusal: NoRoomRefusal;
  readonly rejectedBy: ReadonlySet<string>;
  /** Longest wait at a usual engine with which the latency goal is met. */
  readonly longestWaitMs: number;
  readonly choice: EngineChoiceContext;
}

/** Logs the estimated use of the engines when none had room. */
export function logNoRoom(
  context: RelayContext,
  exchange: CallerExchange,
  details: NoRoomDetails,
): void {
  const {traits, promptTokens, urgency, choice} = details;
  const engines = [...context.endpoints.ofService(exchange.allowed.service)];
  const candidates = engines.filter(({isCandidate}) => isCandidate);
  const useById = estimatedUses(candidates, choice);
  const uses = [...useById.values()];
  const leastBacklogTokens = Math.min(
    ...uses.map((use) => tokensAhead(use, choice.isUrgent)),
  );
  const waitsMs = candidates.map((endpoint) =>
    engineTimesAt(context, endpoint, traits).prefillMs(
      tokensAhead(useById.get(endpoint.id)!, choice.isUrgent),
    ),
  );
  const obstacles = countObstacles(
    engines,
    traits,
    details.needTokens,
    details.rejectedBy,
    choice,
  );
  context.log.warn('generation.noRoom', {
    request: exchange.id,
    engines: candidates.length,
    notPermitted: obstacles.notPermitted,
    withoutMemory: obstacles.memory,
    withLongPrefillWait: obstacles.prefillWait,
    leastUsedTokens: Math.min(...uses.map(({usedTokens}) => usedTokens)),
    limitTokens: Math.round(choice.fillLimit * traits.memoryTokens),
    reserveTokens:
      details.reserveShare &&
      Math.round(details.reserveShare * traits.memoryTokens),
    leastBacklogTokens,
    leastWaitMs: Math.round(Math.min(...waitsMs)),
    longestWaitMs: Math.round(details.longestWaitMs),
    oldestReportMs: Math.round(
      Math.max(...uses.map(({reportAgeMs}) => reportAgeMs ?? 0)),
    ),
    promptTokens,
    urgency: `${urgency.organisation}/${urgency.route}`,
    waitedMs: Math.round(exchange.waitedMs),
    expectedWaitMs: Math.round(details.refusal.expectedWaitMs),
    retryAfterMs: details.refusal.retryAfterMs,
    isAboveShare: details.refusal.isAboveShare,
  });
}
