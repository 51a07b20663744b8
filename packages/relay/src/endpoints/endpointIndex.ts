import {formatAddress} from '../model/index.js';
import type {Endpoint} from './endpoint.js';

/** Endpoints by id and by service. */
export class EndpointIndex {
  private readonly byId = new Map<string, Endpoint>();
  private readonly byService = new Map<string, Set<Endpoint>>();

  get size(): number {
    return this.byId.size;
  }

  get(id: string): Endpoint | undefined {
    return this.byId.get(id);
  }

  all(): Iterable<Endpoint> {
    return this.byId.values();
  }

  /** All endpoints of a service, including leaving ones. */
  ofService(service: string): Iterable<Endpoint> {
    return this.byService.get(service) ?? [];
  }

  /** The endpoint most recently added with the given address. */
  atAddress(address: string): Endpoint | undefined {
    let found: Endpoint | undefined;
    for (const endpoint of this.byId.values()) {
      if (formatAddress(endpoint.record.address) === address) found = endpoint;
    }
    return found;
  }

  add(endpoint: Endpoint): void {
    const {id, record} = endpoint;
    this.byId.set(id, endpoint);
    const group = this.byService.get(record.service) ?? new Set();
    group.add(endpoint);
    this.byService.set(record.service, group);
  }

  delete(endpoint: Endpoint): void {
    const {id, record} = endpoint;
    if (this.byId.get(id) === endpoint) this.byId.delete(id);
    this.byService.get(record.service)?.delete(endpoint);
  }
}
