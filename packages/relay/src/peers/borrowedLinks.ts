import type {Endpoint} from '../endpoints/endpoint.js';
import type {EndpointAddress} from '../model/index.js';
import type {RelayContext} from '../requests/relayContext.js';

/** A link that is neither planned nor has runs at its engine is kept for this long. */
const IDLE_MS = 5_000;

interface Borrowed {
  readonly address: EndpointAddress;
  usedAtMs: number;
}

/**
 * Sidecars of other zones that this entry links to, in fleets where sidecars link to
 * entries of their own zone only: those that it plans, and those of engines where it
 * has runs.
 */
export class BorrowedLinks {
  private readonly byEndpoint = new Map<string, Borrowed>();

  constructor(private readonly context: RelayContext) {}

  get addresses(): EndpointAddress[] {
    return [...this.byEndpoint.values()].map(({address}) => address);
  }

  has(endpoint: Endpoint): boolean {
    return this.byEndpoint.has(endpoint.id);
  }

  /** Where the sidecar of an engine is dialled; undefined in the own zone. */
  take(endpoint: Endpoint): EndpointAddress | undefined {
    const {clock, settings} = this.context;
    if (endpoint.record.zone === settings.zone) return undefined;
    // Sidecars run beside their engines, and all listen on the same port.
    const {host} = endpoint.record.address;
    const address = {host, port: settings.linkPort};
    this.byEndpoint.set(endpoint.id, {address, usedAtMs: clock.nowMs()});
    return address;
  }

  /** Gives up links that are not needed; their addresses. */
  giveBackIdle(): EndpointAddress[] {
    const {clock, endpoints, runs} = this.context;
    const nowMs = clock.nowMs();
    const idle: EndpointAddress[] = [];
    for (const [id, borrowed] of this.byEndpoint) {
      const endpoint = endpoints.get(id);
      if (endpoint !== undefined && runs.at(endpoint).length > 0) {
        borrowed.usedAtMs = nowMs;
      }
      const isIdle = nowMs - borrowed.usedAtMs > IDLE_MS;
      if (endpoint !== undefined && !isIdle) continue;
      this.byEndpoint.delete(id);
      idle.push(borrowed.address);
    }
    return idle;
  }
}
