import type {FakeStore, TestNodeSettings} from '@lilacledge/platform-standins';
import {systemClock} from '@lilacledge/shared';
import type {BulkSettings} from './bulkFaults.js';
import type {EngineHost} from './engineHost.js';
import {DRAIN_MS} from './leaveLedger.js';
import type {Ledger} from './ledger.js';
import {LoopbackProxy} from './loopbackProxy.js';
import type {PortRange} from './portRange.js';
import {Program} from './program.js';
import type {SoakShape} from './soakShape.js';
import {zoneAt} from './soakZones.js';
import type {TakenPorts} from './takenPorts.js';
import {EVACUATE_MS} from './zoneFaults.js';

/** Grace period of a graceful stop. */
export const GRACE_S = 4;

/** An entry, with the URLs that its callers and its load balancer use. */
export interface SoakEntry {
  readonly program: Program;
  readonly url: string;
  readonly readyUrl: string;
  readonly metricsUrl: string;
}

/** What the programs of a soak are started with. */
export interface ProgramsOptions {
  readonly ports: PortRange;
  /** Folder of their settings and logs. */
  readonly folder: string;
  readonly ledger: Ledger;
  readonly bulk: BulkSettings;
  readonly shape: SoakShape;
  readonly takenPorts: TakenPorts | undefined;
}

/** The entries and sidecars of a soak, each with its own way to the store. */
export class SoakPrograms {
  readonly entries: SoakEntry[] = [];
  readonly sidecars: Program[] = [];
  readonly storeProxies: LoopbackProxy[] = [];

  constructor(
    private readonly store: FakeStore,
    private readonly options: ProgramsOptions,
  ) {}

  get all(): Program[] {
    return [...this.entries.map(({program}) => program), ...this.sidecars];
  }

  /** Starts entries, and a sidecar beside each engine; entries may not be ready yet. */
  async start(engines: readonly EngineHost[]): Promise<void> {
    const controlAddresses: string[] = [];
    for (let index = 0; index < this.options.shape.entries; index++) {
      controlAddresses.push(`127.0.0.1:${await this.options.ports.take()}`);
    }
    const seeds = controlAddresses.slice(0, 3);
    for (const [index, control] of controlAddresses.entries()) {
      const callers = `127.0.0.1:${await this.options.ports.take()}`;
      const readiness = `127.0.0.1:${await this.options.ports.take()}`;
      const node = {
        ...(await this.createNode(`entry-${index}`, zoneAt(index), seeds)),
        entry: {callers, readiness, control},
      };
      const program = this.startProgram('entry', node);
      this.entries.push({
        program,
        url: `http://${callers}`,
        readyUrl: `http://${readiness}/v1/readyz`,
        metricsUrl: `http://127.0.0.1:${node.firstPort + 1}/metrics`,
      });
    }
    for (const engine of engines) {
      const node = {
        ...(await this.createNode(`side-${engine.name}`, engine.zone, seeds)),
        endpointAddress: `127.0.0.1:${engine.publicPort}`,
      };
      this.sidecars.push(this.startProgram('sidecar', node));
    }
  }

  private startProgram(role: Program['role'], node: TestNodeSettings): Program {
    const {ledger} = this.options;
    return new Program(
      role,
      node,
      this.options.folder,
      (description) => ledger.note({type: 'ownEnd', text: description}),
      () => {
        const atMs = systemClock.nowMs();
        ledger.note({type: 'entryEnded', atMs, entry: node.name});
      },
      async (settings) => this.options.takenPorts?.takeOne(settings),
    );
  }

  /** Creates the settings of a program, which reaches the store through a proxy of its own. */
  private async createNode(
    name: string,
    zone: string,
    seeds: readonly string[],
  ): Promise<TestNodeSettings> {
    const port = await this.options.ports.take();
    const {bytesPerMs} = this.options.bulk;
    this.storeProxies.push(
      new LoopbackProxy(port, () => this.store.port, bytesPerMs),
    );
    return {
      name,
      zone,
      isFirstStart: true,
      store: {host: '127.0.0.1', port},
      firstPort: await this.options.ports.takePair(),
      seeds,
      graceS: GRACE_S,
      drainMs: DRAIN_MS,
      retrySlack: this.options.shape.retrySlack,
      evacuateMs: EVACUATE_MS,
    };
  }
}
