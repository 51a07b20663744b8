import {fleetConfigSchema} from '@lilacledge/config';
import type {GenerateOptions} from './askOptions.js';
import type {FleetConfig} from '@lilacledge/config';
import {entrySettingsSchema, sidecarSettingsSchema} from '@lilacledge/config';
import {createEntry} from '@lilacledge/entry';
import type {Entry} from '@lilacledge/entry';
import {createConfigStore} from '@lilacledge/store';
import type {Member, MemberRole} from '@lilacledge/store';
import {MemoryNetwork, formatEventId} from '@lilacledge/protocol';
import {createRandom, toMintedKey, VirtualClock} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';
import {createSidecar} from '@lilacledge/sidecar';
import type {EndpointPort, Sidecar} from '@lilacledge/sidecar';
import {
  createMemoryPlatform,
  DEFAULT_ENGINE,
  EngineModel,
  PlainModel,
} from '@lilacledge/standins';
import type {EngineConstants, MemoryPlatform} from '@lilacledge/standins';
import {createMetrics, silentLogger, silentTracer} from '@lilacledge/telemetry';
import type {Logger} from '@lilacledge/telemetry';
import {createCaller, recordEvent, buildPrompt} from './caller.js';
import type {Caller} from './caller.js';
import {createMemoryEngine} from './memoryEngine.js';
import {createMemoryPlain} from './memoryPlain.js';
import {PausableClock} from './pausableClock.js';
import {commonSettings, rigApiKey} from './rigConfig.js';
import type {
  CallOptions,
  PlainCaller,
  RigEntry,
  RigOptions,
  RigProcess,
  RigSidecar,
} from './rigTypes.js';

const OPERATOR_KEY = 'rig-operator-key-0123456789';
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
  readonly callers: Caller[] = [];
  readonly plainCallers: PlainCaller[] = [];
  private readonly logger: Logger;
  private lastPort = 10_000;
  private requests = 0;
  private writes = 0;

  constructor(private readonly options: RigOptions = {}) {
    this.network = new MemoryNetwork(this.clock, LINK_DELAY_MS);
    this.platform = createMemoryPlatform(this.clock, STORE_LATENCY_MS);
    this.random = createRandom(options.seed ?? 1);
    this.logger = options.logger ?? silentLogger;
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
    return this.addSidecar(
      instanceId,
      service,
      zone,
      engine,
      undefined,
      extraSettings,
    );
  }

  addPlain(
    instanceId: string,
    service: string,
    zone: string,
    extraSettings: Readonly<Record<string, unknown>> = {},
  ): RigSidecar {
    const plain = new PlainModel(this.clock);
    return this.addSidecar(
      instanceId,
      service,
      zone,
      undefined,
      plain,
      extraSettings,
    );
  }

  addEntry(
    instanceId: string,
    zone: string,
    extraSettings: Readonly<Record<string, unknown>> = {},
  ): RigEntry {
    const process = this.createProcess(instanceId);
    const settings = entrySettingsSchema.parse({
      role: 'entry',
      ...commonSettings(process, zone),
      operatorKey: OPERATOR_KEY,
      linksPerService: this.options.linksPerService ?? 16,
      ...extraSettings,
    });
    const entry = createEntry(
      {
        clock: process.clock,
        random: this.random,
        configStore: createConfigStore(this.platform.store, process.clock),
        membership: this.platform.membership,
        dialer: this.network,
        logger: this.logger,
        metrics: createMetrics(false),
        tracer: silentTracer,
      },
      settings,
    );
    const rigEntry: RigEntry = {...process, entry, connectedCallers: new Set()};
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
    const target = this.entries.get(entryId)!;
    const requestId = `request-${++this.requests}`;
    const organisation = options.organisation ?? 'clark-yard';
    const outputTokens = options.outputTokens ?? 20;
    const prompt = buildPrompt(requestId, outputTokens, options);
    const model = options.model ?? 'drafting-1';
    const directory = target.entry.directory!;
    const route = directory
      .models(organisation)
      .find((candidate) => candidate.model === model)!;
    const abortController = new AbortController();
    const maxTokens = options.maxTokens ?? 32_768;
    const caller = createCaller({
      requestId,
      organisation,
      prompt,
      expectedTokens: Math.min(outputTokens, maxTokens),
      arrivedMs: this.clock.nowMs(),
      disconnect: () => abortController.abort(),
    });
    this.callers.push(caller);
    const events = target.entry.generate(
      {
        requestId,
        organisation: directory.byApiKey(rigApiKey(organisation))!,
        route,
        prompt,
        maxTokens,
        maxQueueMs: options.maxQueueMs ?? route.service.policy.maxQueueMs,
        isResumable: true,
        traceparent: '',
      },
      abortController.signal,
    );
    void this.recordEvents(target, caller, events);
    return caller;
  }

  /** Resumes a caller's stream after the last event that it received. */
  resume(entryId: string, caller: Caller): void {
    const target = this.entries.get(entryId)!;
    const abortController = new AbortController();
    caller.disconnect = () => abortController.abort();
    caller.end = {kind: 'open'};
    const directory = target.entry.directory!;
    const events = target.entry.resume(
      {
        requestId: caller.requestId,
        organisation: directory.byApiKey(rigApiKey(caller.organisation))!,
        eventId: formatEventId(caller.streamTag, caller.texts.length),
        traceparent: '',
      },
      abortController.signal,
    );
    void this.recordEvents(target, caller, events);
  }

  /** Calls a plain service through an entry; by default it posts a booking. */
  call(entryId: string, options: CallOptions = {}): PlainCaller {
    const {entry} = this.entries.get(entryId)!;
    const requestId = `request-${++this.requests}`;
    const key = options.key ?? this.mintKey();
    const organisation = options.organisation ?? 'clark-yard';
    const directory = entry.directory!;
    const body = options.body ?? JSON.stringify({key});
    const caller: PlainCaller = {requestId, key, body, answers: []};
    this.plainCallers.push(caller);
    const method = options.method ?? 'POST';
    void entry
      .call({
        requestId,
        organisation: directory.byApiKey(rigApiKey(organisation))!,
        route: directory.plainService(
          organisation,
          options.service ?? 'booking-api',
        )!,
        method,
        path: '/bookings',
        contentType: 'application/json',
        body: method === 'GET' ? new Uint8Array() : Buffer.from(body),
        key: method === 'GET' ? '' : key,
        traceparent: '',
      })
      .then((answer) => {
        if (this.entries.get(entryId)?.entry === entry) {
          caller.answers.push(answer);
        }
      });
    return caller;
  }

  mintKey(offsetMs = 0): string {
    const bytes = Uint8Array.from({length: 10}, () => this.random() * 256);
    return toMintedKey(this.clock.wallMs() + offsetMs, bytes);
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
    this.startSidecar(rigSidecar);
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

  private async recordEvents(
    target: RigEntry,
    caller: Caller,
    events: ReturnType<Entry['generate']>,
  ): Promise<void> {
    target.connectedCallers.add(caller);
    for await (const event of events) {
      if (caller.end.kind === 'cut') break;
      recordEvent(caller, event, this.clock.nowMs());
    }
    target.connectedCallers.delete(caller);
  }

  private addSidecar(
    instanceId: string,
    service: string,
    zone: string,
    engine: EngineModel | undefined,
    plain: PlainModel | undefined,
    extraSettings: Readonly<Record<string, unknown>>,
  ): RigSidecar {
    const rigSidecar: RigSidecar = {
      ...this.createProcess(instanceId),
      service,
      zone,
      sidecar: undefined as unknown as Sidecar,
      engine,
      plain,
      plainFaults: {isUnreachable: false, losesAnswers: false},
      extraSettings,
    };
    this.startSidecar(rigSidecar);
    this.sidecars.set(instanceId, rigSidecar);
    this.addMember(rigSidecar, 'sidecar', service, zone);
    return rigSidecar;
  }

  private startSidecar(target: RigSidecar): void {
    const settings = sidecarSettingsSchema.parse({
      role: 'sidecar',
      ...commonSettings(target, target.zone),
      service: target.service,
      endpoint: {
        kind: target.engine === undefined ? 'plain' : 'engine',
        url: 'http://127.0.0.1:1',
      },
      ...target.extraSettings,
    });
    const sidecar = createSidecar(
      {
        clock: target.clock,
        random: this.random,
        store: this.platform.store,
        endpoint: this.createEndpointPort(target),
        logger: this.logger,
        metrics: createMetrics(false),
        tracer: silentTracer,
      },
      settings,
    );
    target.sidecar = sidecar;
    this.network.listen(target.address, (link) => void sidecar.serve(link));
    sidecar.start();
  }

  private createEndpointPort(target: RigSidecar): EndpointPort {
    return target.engine !== undefined
      ? {kind: 'engine', engine: createMemoryEngine(target.engine)}
      : {
          kind: 'plain',
          plain: createMemoryPlain(target.plain!, target.plainFaults),
        };
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
