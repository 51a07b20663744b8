import type {FakeStore} from '@lilacledge/platform-standins';
import type {EndpointRestart, HostSettings} from './endpointHost.js';
import {EngineHost} from './engineHost.js';
import type {Ledger} from './ledger.js';
import type {PortRange} from './portRange.js';
import {ServiceHost} from './serviceHost.js';
import type {SoakShape} from './soakShape.js';
import {zoneAt} from './soakZones.js';

/** The stand-ins for the endpoints of a soak. */
export class SoakEndpoints {
  readonly engines: EngineHost[] = [];
  readonly services: ServiceHost[] = [];

  constructor(
    private readonly store: FakeStore,
    private readonly ports: PortRange,
    private readonly ledger: Ledger,
    private readonly shape: SoakShape,
  ) {}

  get all(): Array<EngineHost | ServiceHost> {
    return [...this.engines, ...this.services];
  }

  /** Restarts of endpoints under the same id whose current incarnation is ready. */
  get readyRestarts(): EndpointRestart[] {
    return this.all
      .map(({readyRestart}) => readyRestart)
      .filter((restart) => restart !== undefined);
  }

  /** Starts the endpoints and waits until they listen. */
  async start(): Promise<void> {
    const {engines, services} = this.shape;
    const fleet = new Map();
    for (let index = 0; index < engines; index++) {
      const settings = await this.createHostSettings(`engine-${index}`, index);
      this.engines.push(new EngineHost(settings, fleet));
    }
    for (let index = 0; index < services; index++) {
      const settings = await this.createHostSettings(`service-${index}`, index);
      this.services.push(new ServiceHost(settings));
    }
    await Promise.all(this.all.map((host) => host.start()));
  }

  private async createHostSettings(
    name: string,
    index: number,
  ): Promise<HostSettings> {
    const {ledger} = this;
    const zone = zoneAt(index);
    return {
      name,
      publicPort: await this.ports.take(),
      zone,
      onStart: (endpointId) => ledger.note({type: 'zone', endpointId, zone}),
      store: this.store,
      ports: this.ports,
      note: (event) => ledger.note(event),
    };
  }
}
