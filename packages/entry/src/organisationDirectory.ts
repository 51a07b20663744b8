import {contentHash} from '@lilacledge/config';
import type {
  FleetConfig,
  ModelService,
  Organisation,
  PlainService,
} from '@lilacledge/config';

/** A model that an organisation may use, with the service that runs it. */
export interface ModelRoute {
  readonly model: string;
  readonly serviceName: string;
  readonly service: ModelService;
}

/** A plain service that an organisation may call. */
export interface PlainRoute {
  readonly serviceName: string;
  readonly service: PlainService;
}

/** Lookups of API keys, organisations and routes in one configuration. */
export class OrganisationDirectory {
  private readonly byKeyHash = new Map<string, Organisation>();
  private readonly routes = new Map<string, Set<string>>();

  constructor(private readonly config: FleetConfig) {
    for (const organisation of config.organisations) {
      for (const hash of organisation.apiKeySha256) {
        this.byKeyHash.set(hash, organisation);
      }
    }
    for (const route of config.routes) {
      for (const id of route.organisations) {
        const services = this.routes.get(id) ?? new Set();
        services.add(route.service);
        this.routes.set(id, services);
      }
    }
  }

  /** Finds the organisation that an API key belongs to. */
  byApiKey(apiKey: string): Organisation | undefined {
    return this.byKeyHash.get(contentHash(apiKey));
  }

  /** Lists all models that an organisation may use. */
  models(organisationId: string): ModelRoute[] {
    const found: ModelRoute[] = [];
    for (const serviceName of this.servicesOf(organisationId)) {
      const service = this.config.services[serviceName];
      if (service?.kind !== 'model') continue;
      for (const model of service.models) {
        found.push({model, serviceName, service});
      }
    }
    return found;
  }

  plainService(
    organisationId: string,
    serviceName: string,
  ): PlainRoute | undefined {
    if (!this.servicesOf(organisationId).has(serviceName)) return undefined;
    const service = this.config.services[serviceName];
    return service?.kind === 'plain' ? {serviceName, service} : undefined;
  }

  private servicesOf(organisationId: string): Set<string> {
    return new Set([
      ...(this.routes.get(organisationId) ?? []),
      ...(this.routes.get('*') ?? []),
    ]);
  }
}
