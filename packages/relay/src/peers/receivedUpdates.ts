import {assertNever} from '@lilacledge/shared';
import type {Endpoint} from '../endpoints/endpoint.js';
import type {EndpointDirectory} from '../endpoints/endpointDirectory.js';
import type {RelayContext} from '../requests/relayContext.js';
import {SuspicionSource} from '../suspicions/requestSuspicions.js';
import type {Peer} from './peerMesh.js';
import type {
  EndpointDoubted,
  EndpointLimitNotice,
  SuspicionNotice,
  ZoneLoadNotice,
  ZoneStatusNotice,
} from './stateMessages.js';

/** State updates from another entry on endpoints, zones, requests and itself. */
export type EntryUpdate =
  | EndpointDoubted
  | EndpointLimitNotice
  | ZoneStatusNotice
  | SuspicionNotice
  | ZoneLoadNotice;

/** Applies a state update from another entry. */
export function applyUpdate(
  context: RelayContext,
  peer: Peer,
  update: EntryUpdate,
): void {
  switch (update.type) {
    case 'endpointDoubted':
      applyDoubt(context, update);
      return;
    case 'endpointLimit':
      applyLimit(context, update);
      return;
    case 'zoneStatus': {
      const {zone, isEvacuated, revision} = update;
      context.evacuations.notePeerStatus({zone, isEvacuated, revision});
      return;
    }
    case 'suspicion':
    case 'longSuspicion': {
      const {fingerprint, ends, cleared} = update;
      const suspicion = {fingerprint, ends, cleared};
      context.suspicions.merge(suspicion, SuspicionSource.PEER);
      return;
    }
    case 'zoneLoad':
      context.zoneLoads.note(update, context.clock.nowMs());
      return;
    default:
      assertNever(update);
  }
}

function applyDoubt(
  {endpoints, clock}: RelayContext,
  {endpointId, startedAtMs, forMs}: EndpointDoubted,
): void {
  const endpoint = findIncarnation(endpoints, endpointId, startedAtMs);
  endpoint?.health.applyPeerDoubt(clock.nowMs(), forMs);
}

function applyLimit(
  {endpoints, statements}: RelayContext,
  {endpointId, startedAtMs, perS, ageMs, version, origin}: EndpointLimitNotice,
): void {
  const endpoint = findIncarnation(endpoints, endpointId, startedAtMs);
  if (endpoint === undefined) return;
  // MessagePack decodes undefined as null.
  const limit = {perS: perS ?? undefined, ageMs, version, origin};
  statements.notePeerLimit(endpoint, limit);
}

/**
 * Finds an endpoint by id, if its known incarnation is the one that the message is
 * about.
 */
function findIncarnation(
  endpoints: EndpointDirectory,
  endpointId: string,
  startedAtMs: number | undefined,
): Endpoint | undefined {
  const known = endpoints.get(endpointId);
  const isSame = known?.record.startedAtMs === (startedAtMs ?? undefined);
  return isSame ? known : undefined;
}
