import {engineUse, meanUse} from '../endpoints/engineUse.js';
import type {EngineUse} from '../endpoints/engineUse.js';
import type {ZoneLoad} from '../endpoints/zoneLoads.js';
import {engineUseContext} from '../requests/relayContext.js';
import type {RelayContext} from '../requests/relayContext.js';

/** Mean load of the engines of this zone that report here, by service. */
export function ownZoneLoads(context: RelayContext): ZoneLoad[] {
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
  return [...uses].map(([service, ofService]) => ({
    service,
    zone,
    ...meanUse(ofService)!,
  }));
}
