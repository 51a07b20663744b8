import {fleetConfigSchema} from '@lilacledge/config';
import type {FleetConfig} from '@lilacledge/config';
import {MemoryNetwork} from '@lilacledge/protocol';
import {createRandom, VirtualClock} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';
import type {Sidecar} from '@lilacledge/sidecar';
import {
  createMemoryPlatform,
  DEFAULT_ENGINE,
  EngineModel,
  PlainModel,
} from '@lilacledge/standins';
import type {EngineConstants, MemoryPlatform} from '@lilacledge/standins';
import {createConfigStore} from '@lilacledge/store';
import type {Member, MemberRole} from '@lilacledge/store';
import {silentLogger} from '@lilacledge/telemetry';
import type {Logger} from '@lilacledge/telemetry';
import type {GenerateOptions} from './askOptions.js';
import type {Caller} from './caller.js';
import {PausableClock} from './pausableClock.js';
import {RigCallers} from './rigCallers.js';
import {createRigEntry, startSidecar} from './rigPrograms.js';
import type {
  CallOptions,
  PlainCaller,
  RigEntry,
  RigOptions,
  RigProcess,
  RigSidecar,
} from './rigTypes.js';

const LINK_DELAY_MS = 1.5;
const STORE_LATENCY_MS = 2;

/** Runs entries, sidecars and stand-ins in one process on a virtual clock. */
export class Rig {
  readonly clock = new VirtualClock();
  readonly network: MemoryNetwork;
  readonly platform: MemoryPlatform;
  readonly random: Random;
  readonly entries = new Map<string, RigEntry>();
  readonly sidecars = new Map<string, RigSidecar>();
  readonly logger: Logger;
  private readonly requests: RigCallers;
  private lastPort = 10_000;
  private writes = 0;

  constructor(private readonly options: RigOptions = {}) {
    this.network = new MemoryNetwork(this.clock, LINK_DELAY_MS);
    this.platform = createMemoryPlatform(this.clock, STORE_LATENCY_MS);
    this.random = createRandom(options.seed ?? 1);
    this.logger = options.logger ?? silentLogger;
    this.requests = new RigCallers(this.clock, this.random, this.entries);
  }

  get callers(): Caller[] {
    return this.requests.callers;
  }

  get plainCallers(): PlainCaller[] {
    return this.requests.plainCallers;
  }

  addEngine(
    instanceId: string,
    service: string,
    zone: string,
    constants: Partial<EngineConstants> = {},
    extraSettings: Readonly<Record<string, unknown>> = {},
  ): RigSidecar {
    const engine = new EngineModel(this.clock, {
      ...DEFAULT_ENGINE,
      ...constants,
    });
    const endpoint = {engine, plain: undefined};
    return this.addSidecar(instanceId, service, zone, endpoint, extraSettings);
  }

  addPlain(
    instanceId: string,
    service: string,
    zone: string,
    extraSettings: Readonly<Record<string, unknown>> = {},
  ): RigSidecar {
    const endpoint = {engine: undefined, plain: new PlainModel(this.clock)};
    return this.addSidecar(instanceId, service, zone, endpoint, extraSettings);
  }

  addEntry(
    instanceId: string,
    zone: string,
    extraSettings: Readonly<Record<string, unknown>> = {},
  ): RigEntry {
    const rigEntry = createRigEntry(
      this,
      this.createProcess(instanceId),
      zone,
      {linksPerService: this.options.linksPerService ?? 16, ...extraSettings},
    );
    this.entries.set(instanceId, rigEntry);
    this.addMember(rigEntry, 'entry', '', zone);
    return rigEntry;
  }

  /** Applies a configuration through the store, as an operator would. */
  async applyConfig(config: unknown): Promise<FleetConfig> {
    const parsed = fleetConfigSchema.parse(config);
    const store = createConfigStore(this.platform.store, this.clock);
    const head = store.readHead();
    await this.clock.advance(10);
    const baseRevision = (await head)?.revision ?? 0;
    const applied = store.apply(
      {
        writeId: `write-${++this.writes}`,
        author: 'rig',
        baseRevision,
        config: parsed,
      },
      0,
    );
    await this.clock.advance(500);
    const result = await applied;
    if (result.outcome !== 'applied') throw new Error(result.outcome);
    return parsed;
  }

  /**
   * Advances the clock so that links open, the configuration spreads and key
   * slots are claimed.
   */
  async settle(durationMs = 15_000): Promise<void> {
    await this.clock.advance(durationMs);
  }

  /** Requests a generation at an entry. */
  generate(entryId: string, options: GenerateOptions = {}): Caller {
    return this.requests.generate(entryId, options);
  }

  /** Resumes a caller's stream after the last event that it received. */
  resume(entryId: string, caller: Caller): void {
    this.requests.resume(entryId, caller);
  }

  /** Calls a plain service through an entry; by default it posts a booking. */
  call(entryId: string, options: CallOptions = {}): PlainCaller {
    return this.requests.call(entryId, options);
  }

  mintKey(offsetMs = 0): string {
    return this.requests.mintKey(offsetMs);
  }

  /** Kills the process of a sidecar; its endpoint keeps running. */
  killSidecar(instanceId: string): void {
    const target = this.sidecars.get(instanceId)!;
    target.sidecar.stop();
    target.clock.kill();
    this.network.remove(target.address);
  }

  /** Kills the process of an entry; its callers lose their connections. */
  killEntry(instanceId: string): void {
    const target = this.entries.get(instanceId)!;
    this.entries.delete(instanceId);
    target.clock.kill();
    target.entry.stop();
    for (const caller of target.connectedCallers) {
      caller.end = {kind: 'cut'};
      caller.disconnect();
    }
  }

  /** Starts a new process at the address of a killed sidecar. */
  restartSidecar(instanceId: string): RigSidecar {
    const old = this.sidecars.get(instanceId)!;
    const rigSidecar: RigSidecar = {
      ...old,
      clock: new PausableClock(this.clock, old.clock.wallOffsetMs),
    };
    startSidecar(this, rigSidecar);
    this.sidecars.set(instanceId, rigSidecar);
    return rigSidecar;
  }

  /** Suspends a sidecar with its sockets open, as SIGSTOP does. */
  pause(instanceId: string): void {
    const target = this.sidecars.get(instanceId)!;
    target.clock.pause();
    this.network.stall(target.address);
  }

  unpause(instanceId: string): void {
    const target = this.sidecars.get(instanceId)!;
    target.clock.resume();
    this.network.heal(target.address);
  }

  /** Changes or removes a row of the membership list. */
  setMember(instanceId: string, change: Partial<Member> | undefined): void {
    const {model} = this.platform;
    model.members = model.members.flatMap((member) => {
      if (member.instanceId !== instanceId) return [member];
      return change === undefined ? [] : [{...member, ...change}];
    });
  }

  private addSidecar(
    instanceId: string,
    service: string,
    zone: string,
    endpoint: Pick<RigSidecar, 'engine' | 'plain'>,
    extraSettings: Readonly<Record<string, unknown>>,
  ): RigSidecar {
    const rigSidecar: RigSidecar = {
      ...this.createProcess(instanceId),
      service,
      zone,
      sidecar: undefined as unknown as Sidecar,
      ...endpoint,
      plainFaults: {isUnreachable: false, losesAnswers: false},
      extraSettings,
    };
    startSidecar(this, rigSidecar);
    this.sidecars.set(instanceId, rigSidecar);
    this.addMember(rigSidecar, 'sidecar', service, zone);
    return rigSidecar;
  }

  private createProcess(instanceId: string): RigProcess {
    return {
      instanceId,
      clock: new PausableClock(this.clock),
      address: {host: '127.0.0.1', port: ++this.lastPort},
    };
  }

  private addMember(
    process: RigProcess,
    role: MemberRole,
    service: string,
    zone: string,
  ): void {
    const {instanceId, address} = process;
    this.platform.model.members = [
      ...this.platform.model.members,
      {instanceId, role, service, ...address, zone, leaving: false},
    ];
  }
}
