import type {Clock} from '@lilacledge/shared';
import type {Endpoint} from '../endpoints/endpoint.js';
import type {MemorySource} from '../ports.js';
import type {CallerExchange} from './callerExchange.js';
import {isAtHome} from './permittedPlaces.js';
import type {RelayContext} from './relayContext.js';
import type {ActiveRun} from './runRegistry.js';

/** Longest wait for the word where a stopped run goes on. */
const HANDOVER_WAIT_MS = 1_500;

/** Where a run goes on, and from which memory. */
export interface HandoverPlace {
  readonly endpoint: Endpoint;
  readonly continueFrom: MemorySource;
}

/** The best place that may still take a run which was stopped or cut; waits for the word. */
export async function handoverPlace(
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
