import {orderRoutes} from '@lilacledge/policy';
import type {EngineClass, OrderedRoute} from '@lilacledge/policy';
import {hash32} from '@lilacledge/shared';
import {RequestClass} from '../model/index.js';
import type {
  Organisation,
  Route,
  Service,
  ServingConfig,
} from '../model/index.js';

/** Indexes one version of the configuration for lookups. */
export class RouteTable {
  private readonly routesByHost = new Map<string, Route[]>();
  private readonly organisationByApiKey = new Map<string, Organisation>();
  private readonly organisationRanks = new Map<string, number>();
  private readonly services = new Map<string, Service>();
  private readonly referencedServices = new Set<string>();
  /** Classes of the streaming routes of each service, by name of the route. */
  private readonly engineClasses = new Map<
    string,
    ReadonlyMap<string, EngineClass>
  >();

  constructor(readonly config: ServingConfig) {
    for (const route of config.routes) {
      const routes = this.routesByHost.get(route.host) ?? [];
      routes.push(route);
      this.routesByHost.set(route.host, routes);
    }
    for (const routes of this.routesByHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const organisation of config.organisations ?? []) {
      const {name, priority = 0} = organisation;
      this.organisationRanks.set(name, priority);
      for (const key of organisation.apiKeys) {
        this.organisationByApiKey.set(key, organisation);
      }
    }
    for (const service of config.services) {
      this.services.set(service.name, service);
      this.referencedServices.add(service.name);
    }
    for (const {targets} of config.routes) {
      for (const {service} of targets) this.referencedServices.add(service);
    }
    for (const service of this.referencedServices) {
      const classes = orderRoutes(streamingRoutesOf(config, service));
      this.engineClasses.set(service, classes);
    }
  }

  /** True when requests must carry an API key, except on anonymous routes. */
  get requiresApiKeys(): boolean {
    return this.config.organisations !== undefined;
  }

  /** Finds the route of a host with the longest prefix that matches the path. */
  findRoute(host: string, path: string): Route | undefined {
    const routes = this.routesByHost.get(host);
    return routes?.find((route) => path.startsWith(route.pathPrefix));
  }

  findOrganisation(apiKey: string): Organisation | undefined {
    return this.organisationByApiKey.get(apiKey);
  }

  /** Rank of an organisation, 0 first; 0 also for one that this version does not have. */
  organisationRank(name: string): number {
    return this.organisationRanks.get(name) ?? 0;
  }

  findService(name: string): Service | undefined {
    return this.services.get(name);
  }

  /** Class of a route at the engines of a service; undefined where it has none. */
  engineClassOf(service: string, {name}: Route): EngineClass | undefined {
    return this.engineClasses.get(service)?.get(name);
  }

  /** True when the configuration defines the service or routes requests to it. */
  namesService(name: string): boolean {
    return this.referencedServices.has(name);
  }

  /**
   * Chooses the service of a request by the weights; one request id always gets the
   * same.
   */
  chooseService(route: Route, requestId: string): string | undefined {
    const {targets} = route;
    const totalWeight = targets.reduce((sum, target) => sum + target.weight, 0);
    if (totalWeight <= 0) return targets[0]?.service;
    let point = (hash32(`${route.name}|${requestId}`) / 2 ** 32) * totalWeight;
    for (const target of targets) {
      point -= target.weight;
      if (point < 0) return target.service;
    }
    return targets.at(-1)?.service;
  }
}

function streamingRoutesOf(
  {routes}: ServingConfig,
  service: string,
): OrderedRoute[] {
  return routes
    .filter(
      ({requestClass, targets}) =>
        requestClass === RequestClass.STREAMING &&
        targets.some((target) => target.service === service),
    )
    .map(({name, priority, latencyGoalMs}) => ({
      name,
      rank: priority,
      latencyGoalMs,
    }));
}
