import type {ActiveConfig} from '../config/activeConfig.js';
import type {Endpoint} from '../endpoints/endpoint.js';
import type {EndpointAddress} from '../model/index.js';
import type {RelayContext} from '../requests/relayContext.js';
import {crossZoneEnginesToDial} from './linkPlan.js';

/** How long a link is kept that is neither planned nor has runs at its engine. */
const IDLE_TIMEOUT_MS = 5_000;

/** A link to a sidecar of another zone. */
interface CrossZoneLink {
  readonly address: EndpointAddress;
  lastUsedMs: number;
}

/**
 * Tracks the links of this entry to sidecars of other zones, in fleets where sidecars link
 * to entries of their own zone only: the planned ones, and those to engines where this
 * entry has runs.
 */
export class CrossZoneLinks {
  private readonly linkByEndpoint = new Map<string, CrossZoneLink>();

  constructor(private readonly context: RelayContext) {}

  get addresses(): EndpointAddress[] {
    return [...this.linkByEndpoint.values()].map(({address}) => address);
  }

  /** Engines of other zones to whose sidecars this entry keeps links. */
  plannedEngines(config: ActiveConfig): Endpoint[] {
    const {endpoints, settings} = this.context;
    const {instanceName, zone} = settings;
    const engines = [...endpoints.all()].filter(
      ({record, isCandidate}) =>
        isCandidate &&
        record.zone !== zone &&
        config.current?.findService(record.service)?.engine !== undefined,
    );
    const ids = engines.map(({id}) => id);
    const plannedIds = crossZoneEnginesToDial(instanceName, ids);
    return engines.filter(({id}) => plannedIds.has(id));
  }

  has(endpoint: Endpoint): boolean {
    return this.linkByEndpoint.has(endpoint.id);
  }

  /** The address to dial for the sidecar of an engine; undefined within the own zone. */
  acquire(endpoint: Endpoint): EndpointAddress | undefined {
    const {clock, settings} = this.context;
    if (endpoint.record.zone === settings.zone) return undefined;
    // A sidecar runs on its engine's host, and all sidecars listen on the same port.
    const {host} = endpoint.record.address;
    const address = {host, port: settings.linkPort};
    this.linkByEndpoint.set(endpoint.id, {address, lastUsedMs: clock.nowMs()});
    return address;
  }

  /** Removes idle links and those to removed endpoints, and returns their addresses. */
  popIdle(): EndpointAddress[] {
    const {clock, endpoints, runs} = this.context;
    const nowMs = clock.nowMs();
    const idle: EndpointAddress[] = [];
    for (const [id, link] of this.linkByEndpoint) {
      const endpoint = endpoints.get(id);
      if (endpoint !== undefined && runs.at(endpoint).length > 0) {
        link.lastUsedMs = nowMs;
      }
      const isIdle = nowMs - link.lastUsedMs > IDLE_TIMEOUT_MS;
      if (endpoint !== undefined && !isIdle) continue;
      this.linkByEndpoint.delete(id);
      idle.push(link.address);
    }
    return idle;
  }
}
