import {ServingResult, servingResult} from '@lilacledge/policy';
import type {ServingEnd, ServingTimes} from '@lilacledge/policy';
import {Counter} from 'prom-client';
import type {Registry} from 'prom-client';
import type {Route} from './model/index.js';

/**
 * Counts requests by route and by how they were served. Names of routes come from the
 * configuration, and those that it no longer has are removed.
 */
export class ServedRequests {
  private readonly counter: Counter;
  private readonly routes = new Set<string>();

  constructor(
    registry: Registry,
    private readonly zone: string,
  ) {
    this.counter = new Counter({
      name: 'lilacledge_requests_total',
      help: 'Requests by route and by how they were served.',
      labelNames: ['zone', 'route', 'result'],
      registers: [registry],
    });
  }

  note(route: Route, end: ServingEnd, times: ServingTimes): void {
    const result = servingResult(end, times, route);
    const {zone} = this;
    if (!this.routes.has(route.name)) this.addRoute(route.name);
    this.counter.inc({zone, route: route.name, result});
  }

  /** Removes the counters of all other routes, so that their number stays bounded. */
  keepRoutes(names: ReadonlySet<string>): void {
    const {zone} = this;
    for (const route of this.routes) {
      if (names.has(route)) continue;
      this.routes.delete(route);
      for (const result of Object.values(ServingResult)) {
        this.counter.remove({zone, route, result});
      }
    }
  }

  /** Begins all results at 0: a share needs those that have not occurred, too. */
  private addRoute(route: string): void {
    this.routes.add(route);
    const {zone} = this;
    for (const result of Object.values(ServingResult)) {
      this.counter.inc({zone, route, result}, 0);
    }
  }
}
