import {waitForOk} from '@lilacledge/localstack';
import {
  configWithProbe,
  FakeStore,
  StoreMode,
} from '@lilacledge/platform-standins';
import type {StandinNode} from '@lilacledge/platform-standins';
import {assertNever, sleep, systemClock} from '@lilacledge/shared';
import {NO_BULK} from './bulkFaults.js';
import type {BulkSettings} from './bulkFaults.js';
import {EnginePlace, ServicePlace} from './endpointPlaces.js';
import type {PlaceSettings, StartedAgain} from './endpointPlaces.js';
import {isDisturbance} from './faultPlan.js';
import type {PlannedFault} from './faultPlan.js';
import {DRAIN_MS} from './leaveLedger.js';
import type {Ledger} from './ledger.js';
import {LoopbackProxy} from './loopbackProxy.js';
import type {LinkFault} from './loopbackProxy.js';
import type {PortRange} from './portRange.js';
import {Program} from './program.js';
import type {SoakShape} from './soakShape.js';
import {EVACUATE_MS} from './zoneFaults.js';

const ZONES = ['north', 'south', 'west'] as const;

/** A graceful stop may take this long. */
export const GRACE_S = 4;

/** A stopped entry serves for the grace, and is back after this at the latest. */
const LONGEST_RESTART_MS = GRACE_S * 1_000 + 1_500;

/** A watch that was cut is asked again within 60 ms. */
const WATCH_AGAIN_MS = 100;

const NO_FAULT: LinkFault = {kind: 'none'};

/** An entry with where its callers and its balancer find it. */
export interface SoakEntry {
  readonly program: Program;
  readonly url: string;
  readonly readyUrl: string;
}

/** The real programs of one soak, and the stand-ins around them. */
export class SoakFleet {
  readonly entries: SoakEntry[] = [];
  /** Version of the configuration that the operator wrote last. */
  version = 0;
  private readonly store: FakeStore;
  private readonly sidecars: Program[] = [];
  private readonly storeProxies: LoopbackProxy[] = [];
  private readonly engines: EnginePlace[] = [];
  private readonly services: ServicePlace[] = [];
  /** Orders that each zone was given so far. */
  private readonly orders = new Map<string, number>();

  private constructor(
    private readonly ports: PortRange,
    storePort: number,
    private readonly folder: string,
    private readonly ledger: Ledger,
    private readonly bulk: BulkSettings,
    private readonly shape: SoakShape,
  ) {
    this.store = new FakeStore(storePort);
  }

  /** Starts the programs of a shape and waits until entries are ready. */
  static async start(
    shape: SoakShape,
    ledger: Ledger,
    folder: string,
    ports: PortRange,
    bulk: BulkSettings = NO_BULK,
  ): Promise<SoakFleet> {
    const storePort = await ports.take();
    const fleet = new SoakFleet(ports, storePort, folder, ledger, bulk, shape);
    ledger.note({type: 'allowance', retrySlack: shape.retrySlack});
    try {
      fleet.writeNextConfig(1);
      await fleet.startEndpoints();
      await fleet.startPrograms();
      await Promise.all(fleet.entries.map(({readyUrl}) => waitForOk(readyUrl)));
      return fleet;
    } catch (error) {
      // No process that was started may stay behind.
      await fleet.close();
      throw error;
    }
  }

  get processCount(): number {
    return this.entries.length + this.sidecars.length;
  }

  private get places(): Array<EnginePlace | ServicePlace> {
    return [...this.engines, ...this.services];
  }

  /** Endpoints that are ready in a later life under their id, and since when. */
  get startedAgain(): StartedAgain[] {
    return this.places
      .map(({startedAgain}) => startedAgain)
      .filter((again) => again !== undefined);
  }

  /** The operator writes a version that is `step` higher. */
  writeNextConfig(step: number): void {
    this.version += step;
    const {unusedRoutes} = this.bulk;
    this.store.configure(configWithProbe(this.version, unusedRoutes));
  }

  /**
   * Cuts the watches for endpoints, as any may be, and lets two of the plain
   * endpoints leave once entries watch again: one says so, and one does not.
   */
  async leaveAfterCut(): Promise<void> {
    this.store.cutWatches('servers/');
    await sleep(systemClock, WATCH_AGAIN_MS);
    const [first, second] = this.services;
    void first?.leave();
    void second?.leaveSilently();
  }

  /** Begins a fault and ends it after its time. */
  apply(fault: PlannedFault): void {
    if (isDisturbance(fault.what)) {
      const nowMs = systemClock.nowMs();
      const endMs = nowMs + Math.max(fault.forMs, LONGEST_RESTART_MS);
      this.ledger.note({type: 'disturbed', fromMs: nowMs, untilMs: endMs});
    }
    const end = this.begin(fault);
    if (end !== undefined) setTimeout(end, fault.forMs);
  }

  async close(): Promise<void> {
    const programs = [
      ...this.entries.map(({program}) => program),
      ...this.sidecars,
    ];
    await Promise.all(programs.map((program) => program.close()));
    for (const place of this.places) place.close();
    for (const proxy of this.storeProxies) proxy.close();
    this.store.close();
  }

  private async startEndpoints(): Promise<void> {
    const {engines, services} = this.shape;
    const fleet = new Map();
    for (let index = 0; index < engines; index++) {
      const settings = await this.place(`engine-${index}`, index);
      this.engines.push(new EnginePlace(settings, fleet));
    }
    for (let index = 0; index < services; index++) {
      const settings = await this.place(`service-${index}`, index);
      this.services.push(new ServicePlace(settings));
    }
    await Promise.all(this.places.map((place) => place.start()));
  }

  private async place(name: string, index: number): Promise<PlaceSettings> {
    const {ledger} = this;
    const zone = pick(ZONES, index);
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

  private async startPrograms(): Promise<void> {
    const controls: string[] = [];
    for (let index = 0; index < this.shape.entries; index++) {
      controls.push(`127.0.0.1:${await this.ports.take()}`);
    }
    const seeds = controls.slice(0, 3);
    for (const [index, control] of controls.entries()) {
      const callers = `127.0.0.1:${await this.ports.take()}`;
      const readiness = `127.0.0.1:${await this.ports.take()}`;
      const node = {
        ...(await this.node(`entry-${index}`, pick(ZONES, index), seeds)),
        entry: {callers, readiness, control},
      };
      const program = this.program('entry', node);
      this.entries.push({
        program,
        url: `http://${callers}`,
        readyUrl: `http://${readiness}/v1/readyz`,
      });
    }
    for (const engine of this.engines) {
      const node = {
        ...(await this.node(`side-${engine.name}`, engine.zone, seeds)),
        endpointAddress: `127.0.0.1:${engine.publicPort}`,
      };
      this.sidecars.push(this.program('sidecar', node));
    }
  }

  private program(role: Program['role'], node: StandinNode): Program {
    const {ledger} = this;
    return new Program(
      role,
      node,
      this.folder,
      (end) => ledger.note({type: 'ownEnd', text: end}),
      () => {
        const atMs = systemClock.nowMs();
        ledger.note({type: 'entryEnded', atMs, entry: node.name});
      },
    );
  }

  /** Each program reaches the store by a proxy of its own. */
  private async node(
    name: string,
    zone: string,
    seeds: readonly string[],
  ): Promise<StandinNode> {
    const port = await this.ports.take();
    const {bytesPerMs} = this.bulk;
    this.storeProxies.push(
      new LoopbackProxy(port, () => this.store.port, bytesPerMs),
    );
    return {
      name,
      zone,
      isFirstStart: true,
      store: {host: '127.0.0.1', port},
      firstPort: await this.ports.takePair(),
      seeds,
      graceS: GRACE_S,
      drainMs: DRAIN_MS,
      retrySlack: this.shape.retrySlack,
      evacuateMs: EVACUATE_MS,
    };
  }

  /** Resolves with what ends the fault; undefined when it ends by itself. */
  private begin({what, target, forMs}: PlannedFault): (() => void) | undefined {
    const {store} = this;
    const {program: entry} = pick(this.entries, target);
    const sidecar = pick(this.sidecars, target);
    const engine = pick(this.engines, target);
    const service = pick(this.services, target);
    switch (what.kind) {
      case 'storeLink':
        return broken(pick(this.storeProxies, target), what.fault);
      case 'storeBusy':
        return this.storeIn(StoreMode.BUSY);
      case 'storeSilent':
        return this.storeIn(StoreMode.SILENT);
      case 'storeLosesAnswers':
        return this.storeIn(StoreMode.LOSES_ANSWERS);
      case 'storeCompacted':
        store.compact();
        return undefined;
      case 'storeDownWithLapse':
        store.lapseLeases();
        return this.storeIn(StoreMode.RESET);
      case 'entryStopped':
        entry.stopGracefully();
        return undefined;
      case 'entryKilled':
        entry.signal('SIGKILL');
        return undefined;
      case 'entryPaused':
        return paused(entry);
      case 'entryReloaded':
        entry.writeSettings({...entry.node, drainMs: DRAIN_MS - (forMs % 2)});
        entry.signal('SIGHUP');
        return undefined;
      case 'sidecarKilled':
        sidecar.signal('SIGKILL');
        return undefined;
      case 'sidecarPaused':
        return paused(sidecar);
      case 'engineLink':
        return broken(engine.proxy, what.fault);
      case 'engineLeaves':
        void engine.leave();
        return undefined;
      case 'engineCrashes':
        void engine.crash();
        return undefined;
      case 'engineResets':
        engine.resetsRequests = true;
        return () => (engine.resetsRequests = false);
      case 'serviceLink':
        return broken(service.proxy, what.fault);
      case 'serviceLeaves':
        void service.leave();
        return undefined;
      case 'serviceFails':
        service.isFailing = true;
        return () => (service.isFailing = false);
      case 'engineStartsAgain':
        void engine.startAgain(what.leavesFirst);
        return undefined;
      case 'serviceStartsAgain':
        void service.startAgain(what.leavesFirst);
        return undefined;
      case 'strangeEntry': {
        const place = target % 2 === 0 ? engine : service;
        place.spoil(what.value);
        // Endpoints write their entries anew with each heartbeat.
        return () => place.restore();
      }
      case 'zoneEvacuated':
        return this.evacuate(pick(ZONES, target));
      case 'endpointsShed':
        return this.shed(what.share);
      case 'endpointNamesRate':
        return pick(this.places, target).say({limit: String(what.perS)});
      case 'endpointSaysLeave':
        return pick(this.places, target).sayLeave();
      case 'endpointAsksRest':
        return pick(this.places, target).say({rest: String(what.restS)});
      case 'configChange':
        this.writeNextConfig(1 + (target % 3));
        return undefined;
      case 'allEntriesKilled':
        for (const {program} of this.entries) program.signal('SIGKILL');
        return undefined;
      default:
        return assertNever(what);
    }
  }

  /** Orders a zone to be evacuated; the result takes it back. */
  private evacuate(zone: string): () => void {
    const {store, ledger} = this;
    const key = `op/evacuate/${zone}`;
    const count = (this.orders.get(zone) ?? 0) + 1;
    this.orders.set(zone, count);
    store.put(key, {});
    ledger.note({type: 'zoneEvacuated', atMs: systemClock.nowMs(), zone});
    return () => {
      // A later order for the zone goes on.
      if (this.orders.get(zone) !== count) return;
      ledger.note({type: 'zoneTakenBack', atMs: systemClock.nowMs(), zone});
      store.remove(key);
    };
  }

  /** All endpoints reject a share of what arrives; the result ends it. */
  private shed(share: number): () => void {
    for (const place of this.places) place.shedShare = share;
    return () => {
      for (const place of this.places) place.shedShare = 0;
    };
  }

  private storeIn(mode: StoreMode): () => void {
    this.store.mode = mode;
    return () => {
      // A later fault of the store goes on.
      if (this.store.mode === mode) this.store.mode = StoreMode.WELL;
    };
  }
}

function pick<T>(values: readonly T[], target: number): T {
  return values[target % values.length]!;
}

function broken(proxy: LoopbackProxy, fault: LinkFault): () => void {
  proxy.setFault(fault);
  return () => proxy.setFault(NO_FAULT);
}

function paused(program: Program): () => void {
  program.signal('SIGSTOP');
  return () => program.signal('SIGCONT');
}
