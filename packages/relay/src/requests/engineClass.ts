import {enginePriority} from '@lilacledge/policy';
import type {EngineClass} from '@lilacledge/policy';
import type {CallerExchange} from './callerExchange.js';
import type {RelayContext} from './relayContext.js';

type ExchangeRoute = Pick<CallerExchange, 'allowed' | 'urgency'>;

/**
 * Class of a generation at the engines of its service; undefined for other requests, and where
 * engines keep their usual order.
 */
export function engineClassOf(
  {switches}: Pick<RelayContext, 'switches'>,
  {allowed}: Pick<CallerExchange, 'allowed'>,
): EngineClass | undefined {
  if (!switches.engineOrder) return undefined;
  const {route, service, table} = allowed;
  return table.engineClassOf(service, route);
}

/** Priority with which a request is sent to engines; undefined where none is set. */
export function enginePriorityOf(
  context: Pick<RelayContext, 'switches'>,
  exchange: ExchangeRoute,
): number | undefined {
  const engineClass = engineClassOf(context, exchange);
  if (engineClass === undefined) return undefined;
  const {organisationRanks} = context.switches;
  const rank = organisationRanks ? exchange.urgency.organisation : 0;
  return enginePriority(engineClass, rank);
}
