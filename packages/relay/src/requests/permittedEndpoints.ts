import {isAllowedRegion, drawRetryAfter} from '@lilacledge/policy';
import type {Endpoint} from '../endpoints/endpoint.js';
import {retryAfterRandom} from './awaitAvailability.js';
import type {AllowedRequest} from './callerExchange.js';
import type {RelayContext} from './relayContext.js';

/** True when the endpoint is in a region that the route and the organisation allow. */
export function isInAllowedRegion(
  context: Pick<RelayContext, 'settings'>,
  {route, organisation}: Pick<AllowedRequest, 'route' | 'organisation'>,
  endpoint: Endpoint,
): boolean {
  const region = context.settings.regions.get(endpoint.record.zone);
  return isAllowedRegion(region, [
    route.allowedRegions,
    organisation?.allowedRegions,
  ]);
}

/** False when the route and the organisation allow no region of the deployment. */
export function hasAllowedRegion(
  {settings}: Pick<RelayContext, 'settings'>,
  {route, organisation}: Pick<AllowedRequest, 'route' | 'organisation'>,
): boolean {
  const allowedRegions = [route.allowedRegions, organisation?.allowedRegions];
  const regions = [undefined, ...settings.regions.values()];
  return regions.some((region) => isAllowedRegion(region, allowedRegions));
}

/** True when an endpoint may serve a request and its send limit allows one more send now. */
export function canSendTo(
  context: Pick<RelayContext, 'settings' | 'sendLimits'>,
  allowed: Pick<AllowedRequest, 'route' | 'organisation'>,
  endpoint: Endpoint,
): boolean {
  return (
    isInAllowedRegion(context, allowed, endpoint) &&
    context.sendLimits.allows(endpoint)
  );
}

/**
 * Retry delay for a caller when the send limits of all endpoints of the service are used up;
 * undefined when an endpoint allows a send, or when there is none. The delay is randomized so
 * that callers refused together do not retry together.
 */
export function sendLimitRetryMs(
  context: RelayContext,
  allowed: AllowedRequest,
): number | undefined {
  let shortestWaitMs = Number.POSITIVE_INFINITY;
  for (const endpoint of context.endpoints.ofService(allowed.service)) {
    if (
      !endpoint.isCandidate ||
      !isInAllowedRegion(context, allowed, endpoint)
    ) {
      continue;
    }
    shortestWaitMs = Math.min(
      shortestWaitMs,
      context.sendLimits.nextSendInMs(endpoint),
    );
  }
  if (shortestWaitMs <= 0 || !Number.isFinite(shortestWaitMs)) return undefined;
  return drawRetryAfter(shortestWaitMs, retryAfterRandom(context)).retryAfterMs;
}
