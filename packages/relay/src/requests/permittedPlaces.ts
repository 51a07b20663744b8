import {isHome, returnAfter} from '@lilacledge/policy';
import type {Endpoint} from '../endpoints/endpoint.js';
import {returnRandom} from './awaitView.js';
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
  context: Pick<RelayContext, 'settings' | 'sendLimits'>,
  allowed: Pick<AllowedRequest, 'route' | 'organisation'>,
  endpoint: Endpoint,
): boolean {
  return (
    isAtHome(context, allowed, endpoint) && context.sendLimits.allows(endpoint)
  );
}

/**
 * When a caller should return whom no endpoint of the service bears now; undefined where one
 * does, or none is there. Callers who are refused together do not return together.
 */
export function sendReturnMs(
  context: RelayContext,
  allowed: AllowedRequest,
): number | undefined {
  let leastMs = Number.POSITIVE_INFINITY;
  for (const endpoint of context.endpoints.ofService(allowed.service)) {
    if (!endpoint.isCandidate || !isAtHome(context, allowed, endpoint)) {
      continue;
    }
    leastMs = Math.min(leastMs, context.sendLimits.freeInMs(endpoint));
  }
  if (leastMs <= 0 || !Number.isFinite(leastMs)) return undefined;
  return returnAfter(leastMs, returnRandom(context)).retryAfterMs;
}
