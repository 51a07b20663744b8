import type {CallerExchange} from './callerExchange.js';
import {describeFeatures} from './describeFeatures.js';
import type {RelayContext} from './relayContext.js';

/** Reason that callers of quarantined requests get. */
export const QUARANTINE_DETAIL = 'endpoints ended under such requests';

/** Refusal of a quarantined request: it did not run and is sent to no endpoint for a while. */
export interface QuarantineRefusal {
  readonly kind: 'notRun';
  readonly detail: string;
  readonly retryAfterMs: number;
}

/** Returns a refusal if too many endpoints crashed under this request, else undefined. */
export function quarantineRefusal(
  context: Pick<RelayContext, 'suspicions' | 'log'>,
  exchange: CallerExchange,
): QuarantineRefusal | undefined {
  const retryAfterMs = context.suspicions.quarantineMs(exchange);
  if (retryAfterMs === undefined) return undefined;
  context.log.warn('request.quarantined', {
    request: exchange.id,
    features: describeFeatures(exchange.features),
    route: exchange.allowed.route.name,
    forMs: Math.round(retryAfterMs),
  });
  return {kind: 'notRun', detail: QUARANTINE_DETAIL, retryAfterMs};
}
