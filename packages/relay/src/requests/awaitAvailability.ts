import {decideWithoutConfig, decideWithoutEndpoint} from '@lilacledge/policy';
import {alwaysHalf, sleep} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';
import type {ActiveConfig} from '../config/activeConfig.js';
import type {RouteTable} from '../config/routeTable.js';
import type {CallerExchange} from './callerExchange.js';
import {hasAllowedRegion, isInAllowedRegion} from './permittedEndpoints.js';
import type {RelayContext} from './relayContext.js';

/** Something that a request needs is not known to this process yet; the caller should retry. */
export interface Unavailable {
  readonly retryAfterMs: number;
}

/** The active configuration, or when the caller should retry. */
export type ConfigResult =
  | {readonly kind: 'known'; readonly table: RouteTable}
  | ({readonly kind: 'missing'} & Unavailable);

/** Returns the active configuration; right after the start of the process, waits for it. */
export async function awaitConfig(
  context: RelayContext,
  config: ActiveConfig,
): Promise<ConfigResult> {
  if (config.current === undefined) {
    const random = retryAfterRandom(context);
    const decision = decideWithoutConfig(storeViewFacts(context), random);
    if (decision.kind === 'refuse') {
      return {kind: 'missing', retryAfterMs: decision.retryAfterMs};
    }
    await waitForNotice(context, decision.forMs, (done) =>
      config.onNextChange(done),
    );
  }
  const table = config.current;
  if (table !== undefined) return {kind: 'known', table};
  return {kind: 'missing', retryAfterMs: context.settings.heartbeatMs};
}

/**
 * Waits for an endpoint of the exchange's service if one is likely to register before the
 * caller gives up. Returns undefined once there is one.
 */
export async function awaitEndpoint(
  context: RelayContext,
  exchange: CallerExchange,
): Promise<Unavailable | undefined> {
  const {endpoints, switches} = context;
  const {service} = exchange.allowed;
  if (canServe(context, exchange)) return undefined;
  // Only a new configuration can change this.
  if (!hasAllowedRegion(context, exchange.allowed)) {
    return {retryAfterMs: context.settings.configApplyMs};
  }
  const decision = decideWithoutEndpoint(
    storeViewFacts(context),
    switches.waitForEndpoints ? exchange.answerTimeLeftMs : 0,
    retryAfterRandom(context),
  );
  context.log.info('request.lacksEndpoint', {
    request: exchange.id,
    service,
    decision: decision.kind,
    ms: decision.kind === 'wait' ? decision.forMs : decision.retryAfterMs,
  });
  if (decision.kind === 'refuse') {
    return {retryAfterMs: decision.retryAfterMs};
  }
  await waitForNotice(
    context,
    decision.forMs,
    (done) => endpoints.onceAvailable(service, done),
    exchange.signal,
  );
  if (canServe(context, exchange)) return undefined;
  return {retryAfterMs: context.settings.heartbeatMs};
}

/** True when at least one endpoint may get work, even if only as a last resort. */
function canServe(context: RelayContext, exchange: CallerExchange): boolean {
  const {clock, endpoints, settings} = context;
  const {allowed} = exchange;
  const nowMs = clock.nowMs();
  return [...endpoints.ofService(allowed.service)].some(
    (endpoint) =>
      endpoint.mayGetWork(nowMs, settings.drainMs) &&
      isInAllowedRegion(context, allowed, endpoint),
  );
}

/** Randomness that spreads the retries of refused callers over time. */
export function retryAfterRandom({switches, random}: RelayContext): Random {
  return switches.spreadReturns ? random : alwaysHalf;
}

function storeViewFacts(
  context: RelayContext,
): Parameters<typeof decideWithoutEndpoint>[0] {
  const {heartbeatMs} = context.settings;
  return {...context.endpoints.storeContact, heartbeatMs};
}

/**
 * Waits until `subscribe` calls back, but at most for `forMs`, and not during a shutdown: another
 * entry can wait in place of this one.
 */
async function waitForNotice(
  context: RelayContext,
  forMs: number,
  subscribe: (done: () => void) => () => void,
  signal?: AbortSignal,
): Promise<void> {
  if (context.closing.isClosing) return;
  const notified = new AbortController();
  const notify = (): void => notified.abort();
  const unsubscribeClosing = context.closing.onceBegun(notify);
  const unsubscribe = subscribe(notify);
  const signals = signal === undefined ? [] : [signal];
  const ended = AbortSignal.any([notified.signal, ...signals]);
  await sleep(context.clock, forMs, ended);
  unsubscribe();
  unsubscribeClosing();
}
