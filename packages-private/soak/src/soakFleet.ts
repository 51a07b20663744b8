import {waitForOk} from '@lilacledge/localstack';
import {configWithProbe, FakeStore} from '@lilacledge/platform-standins';
import {sleep, systemClock} from '@lilacledge/shared';
import {SMALL_CONFIG} from './bulkFaults.js';
import type {BulkSettings} from './bulkFaults.js';
import type {EndpointRestart} from './endpointHost.js';
import type {EngineHost} from './engineHost.js';
import {isDisturbance} from './faultPlan.js';
import type {PlannedFault} from './faultPlan.js';
import type {Ledger} from './ledger.js';
import type {PortRange} from './portRange.js';
import type {Program} from './program.js';
import type {ServiceHost} from './serviceHost.js';
import {SoakEndpoints} from './soakEndpoints.js';
import {GRACE_S, SoakPrograms} from './soakPrograms.js';
import type {ProgramsOptions, SoakEntry} from './soakPrograms.js';
import type {SoakShape} from './soakShape.js';
import {startFault} from './startFault.js';
import {StoreFaults} from './storeFaults.js';
import type {TakenPorts} from './takenPorts.js';
import {VersionLedger} from './versionLedger.js';
import {ZoneOrders} from './zoneOrders.js';

/** Longest time until a stopped entry serves again: its grace period and its restart. */
const MAX_RESTART_MS = GRACE_S * 1_000 + 1_500;

/** Entries reopen a watch within 60 ms of its end. */
const WATCH_REOPEN_MS = 100;

/** The real programs of one soak, and the stand-ins for endpoints and the store. */
export class SoakFleet {
  /** Version of the configuration that was written last. */
  version = 0;
  private readonly store: FakeStore;
  private readonly storeFaults: StoreFaults;
  private readonly soakPrograms: SoakPrograms;
  private readonly endpoints: SoakEndpoints;
  private readonly zoneOrders: ZoneOrders;
  private readonly versions = new VersionLedger();
  private readonly ledger: Ledger;
  private readonly bulk: BulkSettings;

  private constructor(storePort: number, options: ProgramsOptions) {
    const {ports, ledger, bulk, shape} = options;
    this.ledger = ledger;
    this.bulk = bulk;
    this.store = new FakeStore(storePort);
    this.storeFaults = new StoreFaults(this.store, () => this.rewriteLost());
    this.zoneOrders = new ZoneOrders(this.store, ledger);
    this.endpoints = new SoakEndpoints(this.store, ports, ledger, shape);
    this.soakPrograms = new SoakPrograms(this.store, options);
  }

  /** Starts the programs of a shape and waits until the entries are ready. */
  static async start(
    shape: SoakShape,
    ledger: Ledger,
    folder: string,
    ports: PortRange,
    bulk: BulkSettings = SMALL_CONFIG,
    takenPorts?: TakenPorts,
  ): Promise<SoakFleet> {
    const storePort = await ports.take();
    const options = {ports, folder, ledger, bulk, shape, takenPorts};
    const fleet = new SoakFleet(storePort, options);
    ledger.note({type: 'allowance', retrySlack: shape.retrySlack});
    try {
      fleet.writeNextConfig(1);
      await fleet.endpoints.start();
      await fleet.soakPrograms.start(fleet.endpoints.engines);
      await Promise.all(fleet.entries.map(({readyUrl}) => waitForOk(readyUrl)));
      return fleet;
    } catch (error) {
      // Leaves no started process behind.
      await fleet.close();
      throw error;
    }
  }

  /** Reads the logs of the entries; called once all programs have ended. */
  readVersions(): VersionLedger {
    for (const {program} of this.entries) {
      this.versions.readLog(program.node.name, program.readLog());
    }
    return this.versions;
  }

  get entries(): readonly SoakEntry[] {
    return this.soakPrograms.entries;
  }

  get programs(): Program[] {
    return this.soakPrograms.all;
  }

  get processCount(): number {
    return this.programs.length;
  }

  get endpointHosts(): Array<EngineHost | ServiceHost> {
    return this.endpoints.all;
  }

  /** Restarts of endpoints under the same id whose current incarnation is ready. */
  get readyRestarts(): EndpointRestart[] {
    return this.endpoints.readyRestarts;
  }

  /** Writes a configuration whose version is `step` higher. */
  writeNextConfig(step: number): void {
    this.version += step;
    this.writeConfig();
  }

  private writeConfig(): void {
    const {unusedRoutes} = this.bulk;
    // The first version is written before the entries start.
    if (this.entries.length > 0) {
      this.versions.noteWritten(this.version, systemClock.wallMs());
    }
    const config = configWithProbe(this.version, unusedRoutes);
    this.store.configure({...config, limits: this.limitsOf(config)});
  }

  private limitsOf({limits}: Readonly<Record<string, unknown>>): unknown {
    const {maxBodyBytes} = this.bulk;
    if (maxBodyBytes === undefined) return limits;
    return {...(limits as object), maxBodyBytes};
  }

  /**
   * Ends the watches on registrations, which may happen at any time, and lets two plain
   * endpoints leave once entries watch again: one drains first, and one unregisters at once.
   */
  async leaveAfterWatchCut(): Promise<void> {
    this.store.cutWatches('servers/');
    await sleep(systemClock, WATCH_REOPEN_MS);
    const [first, second] = this.endpoints.services;
    void first?.leave();
    void second?.leaveSilently();
  }

  /** Starts a fault, and ends it after its duration. */
  inject(fault: PlannedFault): void {
    if (isDisturbance(fault.what)) {
      const nowMs = systemClock.nowMs();
      const endMs = nowMs + Math.max(fault.forMs, MAX_RESTART_MS);
      this.ledger.note({type: 'disturbed', fromMs: nowMs, untilMs: endMs});
    }
    const {soakPrograms: programs, endpoints, storeFaults} = this;
    const targets = {
      programs,
      endpoints,
      storeFaults,
      zoneOrders: this.zoneOrders,
      ledger: this.ledger,
      writeNextConfig: (step: number) => this.writeNextConfig(step),
    };
    const endFault = startFault(targets, fault);
    if (endFault !== undefined) setTimeout(endFault, fault.forMs);
  }

  async close(): Promise<void> {
    await Promise.all(this.programs.map((program) => program.close()));
    for (const host of this.endpointHosts) host.close();
    for (const proxy of this.soakPrograms.storeProxies) proxy.close();
    this.storeFaults.stop();
    this.store.close();
  }

  /** Writes again what operators and endpoints have written, as far as it is current. */
  private rewriteLost(): void {
    this.writeConfig();
    this.zoneOrders.rewrite();
    for (const host of this.endpointHosts) host.rewriteRegistrations();
  }
}
