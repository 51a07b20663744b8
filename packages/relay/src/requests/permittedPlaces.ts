import {isHome} from '@lilacledge/policy';
import type {Endpoint} from '../endpoints/endpoint.js';
import type {AllowedRequest} from './callerExchange.js';
import type {RelayContext} from './relayContext.js';

/** True when the homes of a request let an endpoint serve it. */
export function isAtHome(
  context: Pick<RelayContext, 'settings'>,
  {route, organisation}: Pick<AllowedRequest, 'route' | 'organisation'>,
  endpoint: Endpoint,
): boolean {
  const region = context.settings.regions.get(endpoint.record.zone);
  return isHome(region, [route.homes, organisation?.homes]);
}

/** False when no region of the deployment may serve a request. */
export function hasHome(
  {settings}: Pick<RelayContext, 'settings'>,
  {route, organisation}: Pick<AllowedRequest, 'route' | 'organisation'>,
): boolean {
  const homes = [route.homes, organisation?.homes];
  const regions = [undefined, ...settings.regions.values()];
  return regions.some((region) => isHome(region, homes));
}

/** True when an endpoint may serve a request, and bears one more send now. */
export function takesSend(
  context: Pick<RelayContext, 'settings' | 'cold'>,
  allowed: Pick<AllowedRequest, 'route' | 'organisation'>,
  endpoint: Endpoint,
): boolean {
  return isAtHome(context, allowed, endpoint) && context.cold.allows(endpoint);
}

/** Time until one of a service's cold endpoints bears a send; undefined for never. */
export function coldReturnMs(
  context: RelayContext,
  allowed: AllowedRequest,
): number | undefined {
  let leastMs = Number.POSITIVE_INFINITY;
  for (const endpoint of context.endpoints.ofService(allowed.service)) {
    if (!endpoint.isCandidate || !isAtHome(context, allowed, endpoint)) {
      continue;
    }
    leastMs = Math.min(leastMs, context.cold.freeInMs(endpoint));
  }
  return leastMs > 0 && Number.isFinite(leastMs) ? leastMs : undefined;
}
