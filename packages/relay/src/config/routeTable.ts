import {hash32} from '@lilacledge/shared';
import type {
  Organisation,
  Route,
  Service,
  ServingConfig,
} from '../model/index.js';

/** Look-ups in one version of the configuration. */
export class RouteTable {
  private readonly routesOfHost = new Map<string, Route[]>();
  private readonly organisationOfKey = new Map<string, Organisation>();
  private readonly services = new Map<string, Service>();
  private readonly serviceNames = new Set<string>();

  constructor(readonly config: ServingConfig) {
    for (const route of config.routes) {
      const routes = this.routesOfHost.get(route.host) ?? [];
      routes.push(route);
      this.routesOfHost.set(route.host, routes);
    }
    for (const routes of this.routesOfHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const organisation of config.organisations ?? []) {
      for (const key of organisation.apiKeys) {
        this.organisationOfKey.set(key, organisation);
      }
    }
    for (const service of config.services) {
      this.services.set(service.name, service);
      this.serviceNames.add(service.name);
    }
    for (const {targets} of config.routes) {
      for (const {service} of targets) this.serviceNames.add(service);
    }
  }

  /** True when requests must carry an API key, unless a route needs none. */
  get hasKeys(): boolean {
    return this.config.organisations !== undefined;
  }

  /** The route with the longest prefix that begins the path. */
  findRoute(host: string, path: string): Route | undefined {
    const routes = this.routesOfHost.get(host);
    return routes?.find((route) => path.startsWith(route.pathPrefix));
  }

  findOrganisation(apiKey: string): Organisation | undefined {
    return this.organisationOfKey.get(apiKey);
  }

  findService(name: string): Service | undefined {
    return this.services.get(name);
  }

  /** True when the configuration has the service, or sends requests to it. */
  namesService(name: string): boolean {
    return this.serviceNames.has(name);
  }

  /** The service for a request: stable for its id, by the targets' weights. */
  chooseService(route: Route, requestId: string): string | undefined {
    const {targets} = route;
    const total = targets.reduce((sum, target) => sum + target.weight, 0);
    if (total <= 0) return targets[0]?.service;
    let point = (hash32(`${route.name}|${requestId}`) / 2 ** 32) * total;
    for (const target of targets) {
      point -= target.weight;
      if (point < 0) return target.service;
    }
    return targets.at(-1)?.service;
  }
}
