import type {Clock} from '@lilacledge/shared';
import type {Endpoint} from '../endpoints/endpoint.js';
import type {SendPermit} from '../endpoints/sendLimits.js';
import type {MemorySource} from '../ports.js';
import type {CallerExchange} from './callerExchange.js';
import {isAtHome} from './permittedPlaces.js';
import type {RelayContext} from './relayContext.js';
import type {ActiveRun} from './runRegistry.js';
import {takeContinuation} from './takeRepeat.js';

/** Longest wait for the word where a stopped run goes on. */
const HANDOVER_WAIT_MS = 1_500;

/** Where the next stretch of a generation begins. */
export interface StretchStart {
  readonly permit: SendPermit;
  /** Set where it goes on from what was made before. */
  readonly continueFrom?: MemorySource;
}

/** Where a run goes on, and from which memory. */
interface HandoverPlace {
  readonly endpoint: Endpoint;
  readonly continueFrom: MemorySource;
}

/**
 * Where a run that was stopped or cut goes on, within the retry budget and the rests that
 * endpoints ask for. It is sent even where the endpoint's rate is used up.
 */
export async function handoverWithinLimits(
  context: RelayContext,
  exchange: CallerExchange,
  run: ActiveRun,
): Promise<StretchStart | undefined> {
  const place = await handoverPlace(context, exchange, run);
  if (place === undefined) return undefined;
  const {endpoint, continueFrom} = place;
  const permit = context.sendLimits.takeContinuation(endpoint);
  if (permit === undefined) return undefined;
  if (takeContinuation(context, exchange)) return {permit, continueFrom};
  context.sendLimits.withdraw(permit);
  return undefined;
}

/** The best place that may still take a run which was stopped or cut; waits for the word. */
async function handoverPlace(
  context: RelayContext,
  exchange: CallerExchange,
  run: ActiveRun,
): Promise<HandoverPlace | undefined> {
  const {clock, settings} = context;
  const {handover} = run;
  run.handover = undefined;
  const word =
    handover === undefined
      ? run.otherPlaces
      : await withinWait(clock, handover);
  const [endpoint, ...others] = (word?.destinations ?? []).filter(
    (place) =>
      place.mayGetWork(clock.nowMs(), settings.drainMs) &&
      isAtHome(context, exchange.allowed, place),
  );
  if (word === undefined || endpoint === undefined) return undefined;
  // The other places are tried when the first turns the run away.
  run.otherPlaces = {destinations: others, source: word.source};
  return {endpoint, continueFrom: word.source};
}

function withinWait<T>(
  clock: Clock,
  promise: Promise<T>,
): Promise<T | undefined> {
  return new Promise((resolve) => {
    const cancel = clock.after(HANDOVER_WAIT_MS, () => resolve(undefined));
    void promise.then((value) => {
      cancel();
      resolve(value);
    });
  });
}
