import {createRandom, VirtualClock} from '@lilacledge/shared';
import type {Clock} from '@lilacledge/shared';
import {ConfigSource} from '../config/activeConfig.js';
import type {ActiveConfig, ConfigListener} from '../config/activeConfig.js';
import {PeerAnnouncements} from '../config/peerAnnouncements.js';
import type {RouteTable} from '../config/routeTable.js';
import {chooseForCall} from '../endpoints/chooseEndpoint.js';
import {EndpointDirectory} from '../endpoints/endpointDirectory.js';
import {ViewGate} from '../endpoints/viewGate.js';
import {ZoneEvacuations} from '../endpoints/zoneEvacuations.js';
import {startStoreSync} from '../storeSync.js';
import type {StoreSync, StoreSyncOptions} from '../storeSync.js';
import {silentLog} from '../log/boundedLog.js';
import {EndpointState} from '../model/index.js';
import type {EndpointRecord} from '../model/index.js';
import type {EntryPeers} from '../peers/entryPeers.js';
import type {MetadataStore, WireCodec} from '../ports.js';
import {RequestSuspicions} from '../suspicions/requestSuspicions.js';
import type {RelaySettings} from '../settings.js';
import {ALL_ON} from '../switches.js';
import {
  CONFIG_KEY,
  ENDPOINT_PREFIX,
  EVACUATION_PREFIX,
  MEMBER_PREFIX,
  SUSPICION_PREFIX,
  OPERATOR_PREFIX,
} from './scriptedKeys.js';
import {ScriptedStore} from './scriptedStore.js';

/** The time bounds of a deployment. */
export type Bounds = Pick<
  RelaySettings,
  'heartbeatMs' | 'drainMs' | 'settleMs' | 'configApplyMs' | 'evacuateMs'
>;

/** The time bounds of the small deployments. */
export const SMALL_DEPLOYMENT_BOUNDS: Bounds = {
  heartbeatMs: 1_200,
  drainMs: 2_000,
  settleMs: 3_000,
  configApplyMs: 2_000,
};

/** How often a test checks whether a call would be sent. */
const CHECK_INTERVAL_MS = 20;

/** An entry's store sync and endpoint directory, with `a` as the only endpoint of its service. */
export class EntryView {
  /** Replaced by tests in which peers send configurations. */
  readonly peers: {configProgressMs?: number} = {};
  private readonly evacuations: ZoneEvacuations;
  private readonly endpoints: EndpointDirectory;
  private readonly stopped = new AbortController();
  private readonly gate: ViewGate;
  private readonly storeSync: StoreSync;
  /** When the latest configuration was received. */
  configReceivedMs: number | undefined;
  /** Highest version of the configuration that was received. */
  configVersion = 0;
  /** What peers have announced. */
  readonly announcements: PeerAnnouncements;
  /** The part of the active configuration that the store sync uses. */
  private readonly config: ActiveConfig;

  constructor(
    private readonly seed: number,
    private readonly bounds: Bounds,
    readonly clock: VirtualClock,
    readonly store: ScriptedStore,
    /** The clock of the entry's instance, and the interface for its calls to the store. */
    private readonly entryClock: Clock = clock,
    port: MetadataStore = store.port,
  ) {
    this.gate = new ViewGate(entryClock);
    this.evacuations = new ZoneEvacuations(
      entryClock,
      silentLog,
      () => bounds.evacuateMs ?? Number.POSITIVE_INFINITY,
    );
    this.endpoints = new EndpointDirectory(
      entryClock,
      silentLog,
      ALL_ON,
      this.evacuations,
    );
    this.announcements = new PeerAnnouncements(entryClock);
    this.config = this.createConfig();
    this.storeSync = startStoreSync({
      settings: bounds as RelaySettings,
      clock: this.entryClock,
      random: createRandom(seed),
      log: silentLog,
      store: port,
      codec: {
        configKey: CONFIG_KEY,
        endpointPrefix: ENDPOINT_PREFIX,
        memberPrefix: MEMBER_PREFIX,
        suspicionPrefix: SUSPICION_PREFIX,
        operatorPrefix: OPERATOR_PREFIX,
        evacuationPrefix: EVACUATION_PREFIX,
        endpointIdOf: (key: string) => key.slice(ENDPOINT_PREFIX.length),
        decodeEndpoint: (_key: string, value: Buffer) => ({
          ok: true,
          value: JSON.parse(value.toString()) as EndpointRecord,
        }),
      } as Partial<WireCodec> as WireCodec,
      config: this.config,
      endpoints: this.endpoints,
      suspicions: new RequestSuspicions(this.entryClock, silentLog, {
        self: 'entry-1',
        members: () => [],
      }),
      viewGate: this.gate,
      evacuations: this.evacuations,
      peers: this.peers as EntryPeers,
      signal: this.stopped.signal,
    } satisfies StoreSyncOptions);
  }

  private createConfig(): ActiveConfig {
    const {announcements} = this;
    const version = (): number => this.configVersion;
    const listeners: ConfigListener[] = [];
    // With no service listed, the watch uses its regular batch delay.
    const current = {
      config: {services: []},
      namesService: () => true,
    } as unknown as RouteTable;
    return {
      current,
      announcements,
      get version() {
        return version();
      },
      onChange: (listener) => listeners.push(listener),
      adopt: (bytes, source) => {
        const received = Number(bytes.toString());
        this.configReceivedMs = this.clock.nowMs();
        if (received <= this.configVersion) return false;
        this.configVersion = received;
        for (const listener of listeners) listener(current, source);
        return true;
      },
    } as Partial<ActiveConfig> as ActiveConfig;
  }

  /** When a response of the store last progressed; undefined if none is arriving. */
  get storeProgressMs(): number | undefined {
    return this.config.storeProgressMs;
  }

  /** Adopts a version that a peer sent. */
  adoptFromPeer(version: number): void {
    this.config.adopt(Buffer.from(`${version}`), ConfigSource.PEER);
  }

  /** Stops the entry and returns its next incarnation, which has read nothing yet. */
  restart(): EntryView {
    this.stop();
    return new EntryView(this.seed, this.bounds, this.clock, this.store);
  }

  /** Stops all watches. */
  stop(): void {
    this.stopped.abort();
  }

  /** Refreshes the view, as an entry does after a suspension of its instance. */
  refresh(): void {
    this.storeSync.refresh();
  }

  /** True if the entry would send a call to the endpoint now. */
  get canSend(): boolean {
    if (!this.gate.isOpen) return false;
    const choice = chooseForCall(
      this.endpoints.ofService('bookings'),
      new Set(),
      {
        zone: 'north',
        nowMs: this.entryClock.nowMs(),
        random: () => 0,
        drainMs: this.bounds.drainMs,
      },
    );
    return choice !== undefined;
  }

  /** Advances the clock to `untilMs` and calls `check` at regular intervals. */
  async watch(untilMs: number, check: (nowMs: number) => void): Promise<void> {
    while (this.clock.nowMs() < untilMs) {
      check(this.clock.nowMs());
      await this.clock.advance(CHECK_INTERVAL_MS);
    }
  }

  /** Advances the clock to `untilMs`; returns when the endpoint could last be sent a call. */
  async lastSendMs(untilMs: number): Promise<number> {
    let lastMs = -Infinity;
    await this.watch(untilMs, (nowMs) => {
      if (this.canSend) lastMs = nowMs;
    });
    return lastMs;
  }

  /** Schedules `task` on the virtual clock. */
  at(timeMs: number, task: () => void): void {
    this.clock.after(timeMs - this.clock.nowMs(), task);
  }
}

/** Creates a view that had no disturbance for so long that every bound holds. */
export async function createSettledView(
  seed: number,
  bounds = SMALL_DEPLOYMENT_BOUNDS,
): Promise<EntryView> {
  const clock = new VirtualClock();
  const store = new ScriptedStore(clock);
  store.register('a', EndpointState.READY);
  const view = new EntryView(seed, bounds, clock, store);
  await view.clock.advance(10_000);
  if (!view.canSend) throw new Error('the endpoint is not known');
  return view;
}
