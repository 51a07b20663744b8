import type {CallerExchange} from './callerExchange.js';
import type {RelayContext} from './relayContext.js';

/** The end of a request that nothing ran, and that is sent nowhere for some time. */
export interface QuarantineRefusal {
  readonly kind: 'notRun';
  readonly detail: string;
  readonly retryAfterMs: number;
}

/** Refuses a request under which too many endpoints have ended; undefined for others. */
export function quarantineRefusal(
  context: Pick<RelayContext, 'suspicions' | 'log'>,
  exchange: CallerExchange,
): QuarantineRefusal | undefined {
  const retryAfterMs = context.suspicions.quarantineMs(exchange);
  if (retryAfterMs === undefined) return undefined;
  context.log.warn('request.quarantined', {
    request: exchange.id,
    fingerprint: exchange.fingerprint,
    route: exchange.allowed.route.name,
    forMs: Math.round(retryAfterMs),
  });
  const detail = 'endpoints ended under this request';
  return {kind: 'notRun', detail, retryAfterMs};
}
