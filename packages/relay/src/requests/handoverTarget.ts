import {RetryKind} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';
import type {Endpoint} from '../endpoints/endpoint.js';
import type {SendPermit} from '../endpoints/sendLimits.js';
import type {MemorySource} from '../ports.js';
import type {CallerExchange} from './callerExchange.js';
import {isInAllowedRegion} from './permittedEndpoints.js';
import type {RelayContext} from './relayContext.js';
import type {ActiveRun} from './runRegistry.js';
import {borrowRetry, takeRetry} from './takeRetry.js';

/** Maximum wait until the destinations of a stopped run are known. */
const HANDOVER_TIMEOUT_MS = 1_500;

/** Where the next segment of a generation runs. */
export interface SegmentStart {
  readonly permit: SendPermit;
  /** Memory of the previous segment to continue from, if there is any. */
  readonly continueFrom?: MemorySource;
}

/** The endpoint that continues a run, and the memory that it continues from. */
interface HandoverTarget {
  readonly endpoint: Endpoint;
  readonly continueFrom: MemorySource;
}

/**
 * Finds the endpoint that continues a stopped or interrupted run. Respects the retry budget
 * and the backoffs that endpoints request, but not the rate limits of endpoints.
 */
export async function takeHandover(
  context: RelayContext,
  exchange: CallerExchange,
  run: ActiveRun,
): Promise<SegmentStart | undefined> {
  const target = await findHandoverTarget(context, exchange, run);
  if (target === undefined) return undefined;
  const {endpoint, continueFrom} = target;
  const permit = context.sendLimits.acquireForContinuation(endpoint);
  if (permit === undefined) return undefined;
  const loan = await borrowRetry(context, exchange, RetryKind.CONTINUATION);
  if (takeRetry(context, exchange, RetryKind.CONTINUATION, loan)) {
    return {permit, continueFrom};
  }
  context.sendLimits.release(permit);
  return undefined;
}

/** Waits for the destinations of a stopped or interrupted run and returns the best available. */
async function findHandoverTarget(
  context: RelayContext,
  exchange: CallerExchange,
  run: ActiveRun,
): Promise<HandoverTarget | undefined> {
  const {clock, settings} = context;
  const {handover} = run;
  run.handover = undefined;
  const offered =
    handover === undefined
      ? run.remainingHandover
      : await withTimeout(clock, handover);
  const [endpoint, ...others] = (offered?.destinations ?? []).filter(
    (candidate) =>
      candidate.mayGetWork(clock.nowMs(), settings.drainMs) &&
      isInAllowedRegion(context, exchange.allowed, candidate),
  );
  if (offered === undefined || endpoint === undefined) return undefined;
  // The remaining destinations are tried if the first one rejects the run.
  run.remainingHandover = {destinations: others, source: offered.source};
  return {endpoint, continueFrom: offered.source};
}

function withTimeout<T>(
  clock: Clock,
  promise: Promise<T>,
): Promise<T | undefined> {
  return new Promise((resolve) => {
    const cancel = clock.after(HANDOVER_TIMEOUT_MS, () => resolve(undefined));
    void promise.then((value) => {
      cancel();
      resolve(value);
    });
  });
}
