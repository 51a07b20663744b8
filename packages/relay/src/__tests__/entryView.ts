import {createRandom, VirtualClock} from '@lilacledge/shared';
import type {Clock} from '@lilacledge/shared';
import type {ConfigKeeper} from '../config/configKeeper.js';
import type {RouteTable} from '../config/routeTable.js';
import {chooseForCall} from '../endpoints/chooseEndpoint.js';
import {EndpointDirectory} from '../endpoints/endpointDirectory.js';
import {ViewGate} from '../endpoints/viewGate.js';
import {ZoneEvacuations} from '../endpoints/zoneEvacuations.js';
import {followStore} from '../followStore.js';
import type {FollowedStore, StoreFollowing} from '../followStore.js';
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
  ScriptedStore,
} from './scriptedStore.js';

/** The bounds that a deployment states. */
export type Bounds = Pick<
  RelaySettings,
  'heartbeatMs' | 'drainMs' | 'settleMs' | 'configApplyMs' | 'evacuateMs'
>;

/** Those of the small deployments. */
export const BOUNDS: Bounds = {
  heartbeatMs: 1_200,
  drainMs: 2_000,
  settleMs: 3_000,
  configApplyMs: 2_000,
};

/** How often it is looked whether the endpoint gets work. */
const LOOK_MS = 20;

/** One entry's view of the store, and the one endpoint `a` of the service. */
export class EntryView {
  private readonly evacuations: ZoneEvacuations;
  private readonly endpoints: EndpointDirectory;
  private readonly stopped = new AbortController();
  private readonly gate: ViewGate;
  private readonly followed: FollowedStore;
  /** When the newest configuration was learned. */
  configKnownMs: number | undefined;
  /** Of the newest configuration that was learned. */
  configVersion = 0;

  constructor(
    private readonly seed: number,
    private readonly bounds: Bounds,
    readonly clock: VirtualClock,
    readonly store: ScriptedStore,
    /** The clock of the entry's own instance, and how its calls reach the store. */
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
    this.followed = followStore({
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
      config: {
        // It lists no service, so that the watch's pace is the settled one.
        current: {
          config: {services: []},
          namesService: () => true,
        } as unknown as RouteTable,
        onChange: () => {},
        adopt: (bytes) => {
          this.configKnownMs = this.clock.nowMs();
          this.configVersion = Number(bytes.toString());
          return true;
        },
      } as Partial<ConfigKeeper> as ConfigKeeper,
      endpoints: this.endpoints,
      suspicions: new RequestSuspicions(this.entryClock, silentLog, {
        self: 'entry-1',
        members: () => [],
      }),
      viewGate: this.gate,
      evacuations: this.evacuations,
      peers: {} as EntryPeers,
      signal: this.stopped.signal,
    } satisfies StoreFollowing);
  }

  /** Another life of the same entry, which knows nothing yet. */
  startAgain(): EntryView {
    this.stop();
    return new EntryView(this.seed, this.bounds, this.clock, this.store);
  }

  /** Ends all watches. */
  stop(): void {
    this.stopped.abort();
  }

  /** The entry's instance may have been suspended. */
  askAfresh(): void {
    this.followed.askAfresh();
  }

  /** True if a call would be sent to the endpoint now. */
  get givesWork(): boolean {
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

  /** Moves on to `untilMs`, and looks again and again. */
  async watch(untilMs: number, look: (nowMs: number) => void): Promise<void> {
    while (this.clock.nowMs() < untilMs) {
      look(this.clock.nowMs());
      await this.clock.advance(LOOK_MS);
    }
  }

  /** Moves on to `untilMs`; the last moment at which work was given. */
  async lastWorkMs(untilMs: number): Promise<number> {
    let lastMs = -Infinity;
    await this.watch(untilMs, (nowMs) => {
      if (this.givesWork) lastMs = nowMs;
    });
    return lastMs;
  }

  /** Calls `task` at a time of the view's clock. */
  at(timeMs: number, task: () => void): void {
    this.clock.after(timeMs - this.clock.nowMs(), task);
  }
}

/** A view that has been calm for so long that every bound holds. */
export async function calmView(
  seed: number,
  bounds = BOUNDS,
): Promise<EntryView> {
  const clock = new VirtualClock();
  const store = new ScriptedStore(clock);
  store.register('a', EndpointState.READY);
  const view = new EntryView(seed, bounds, clock, store);
  await view.clock.advance(10_000);
  if (!view.givesWork) throw new Error('the endpoint is not known');
  return view;
}
