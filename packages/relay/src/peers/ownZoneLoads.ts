import {engineUse, meanUse} from '../endpoints/engineUse.js';
import type {EngineUse} from '../endpoints/engineUse.js';
import type {ZoneLoad} from '../endpoints/zoneLoads.js';
import {engineUseContext} from '../requests/relayContext.js';
import type {RelayContext} from '../requests/relayContext.js';
import type {Peer} from './peerMesh.js';
import {PeerRole} from './peerMessages.js';

/** Sends the loads of this zone's engines to entries of other zones. */
export function sendOwnZoneLoads(
  context: RelayContext,
  peers: Iterable<Peer>,
): void {
  const loads = ownZoneLoads(context);
  for (const {hello, send} of peers) {
    const {role, zone} = hello;
    if (role !== PeerRole.ENTRY || zone === context.settings.zone) continue;
    for (const load of loads) send({type: 'zoneLoad', ...load});
  }
}

/** The mean load, by service, of the engines in this zone that report to this entry. */
function ownZoneLoads(context: RelayContext): ZoneLoad[] {
  const {zone} = context.settings;
  const useContext = engineUseContext(context);
  const uses = new Map<string, EngineUse[]>();
  for (const endpoint of context.endpoints.all()) {
    if (endpoint.record.zone !== zone || !endpoint.isCandidate) continue;
    const use = engineUse(endpoint, useContext);
    if (use.reportAgeMs === undefined) continue;
    const {service} = endpoint.record;
    uses.set(service, [...(uses.get(service) ?? []), use]);
  }
  return [...uses].map(([service, serviceUses]) => ({
    service,
    zone,
    ...meanUse(serviceUses)!,
  }));
}
