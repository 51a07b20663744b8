import {positionOf} from '@lilacledge/policy';
import type {Endpoint} from '../endpoints/endpoint.js';
import type {EngineTraits, GenerationSize} from '../model/index.js';
import type {CallerExchange} from './callerExchange.js';
import {enginePriorityOf} from './engineClass.js';
import {isInAllowedRegion} from './permittedEndpoints.js';
import type {RelayContext} from './relayContext.js';
import {ActiveRun} from './runRegistry.js';

/** Creates the run of a generation that is sent to an endpoint. */
export function createRun(
  context: RelayContext,
  exchange: CallerExchange,
  endpoint: Endpoint,
  size: GenerationSize,
  traits: EngineTraits,
): ActiveRun {
  const {route, request} = exchange.allowed;
  return new ActiveRun(
    exchange.id,
    endpoint,
    size.promptTokens,
    size.expectedOutputTokens ?? size.maxOutputTokens / 2,
    traits.tokensPerEvent,
    context.clock.nowMs(),
    {
      isAllowedAt: (candidate) =>
        isInAllowedRegion(context, exchange.allowed, candidate),
      pauseGoalMs: route.pauseGoalMs,
      enginePriority: enginePriorityOf(context, exchange),
      organisation: exchange.allowed.organisation?.name,
      position: positionOf(route.isResumable ? request.lastEventId : undefined),
    },
  );
}
