import type {
  AnswerAnnouncements,
  ArrivalListener,
  FakeStore,
  RecordedRun,
} from '@lilacledge/platform-standins';
import {sleep, systemClock} from '@lilacledge/shared';
import {LoopbackProxy} from './loopbackProxy.js';
import type {PortRange} from './portRange.js';
import type {SoakEvent, SoakService} from './soakEvent.js';

/** Delay until the next incarnation, under a new id, starts at the same address. */
const REPLACEMENT_PAUSE_MS = 2_200;

/** Delay until a crashed endpoint restarts under the same id. */
const RESTART_PAUSE_MS = 600;

/** What the store holds of an endpoint, unless it was restored from an older copy. */
type StoredState = 'none' | 'ready' | 'draining';

/** The members that stand-ins for engines and for plain endpoints have in common. */
interface Incarnation {
  readonly id: string;
  readonly port: number;
  sheds: () => boolean;
  announcements: () => AnswerAnnouncements;
  pacePercent: () => number | undefined;
  onArrival: ArrivalListener;
  registration(service: string, zone: string, state?: string): unknown;
}

/** A restart of an endpoint under the same id. */
export interface EndpointRestart {
  readonly id: string;
  readonly atMs: number;
}

/** Where an endpoint host is, and what all hosts share. */
export interface HostSettings {
  readonly name: string;
  readonly publicPort: number;
  readonly zone: string;
  readonly store: FakeStore;
  readonly ports: PortRange;
  /** Receives what the host's incarnations observe. */
  readonly note: (event: SoakEvent) => void;
  /** Called for each incarnation before it registers. */
  readonly onStart: (endpointId: string) => void;
}

/** One address at which successive incarnations of an endpoint run. */
export abstract class EndpointHost<T extends Incarnation> {
  readonly proxy: LoopbackProxy;
  /** Share of the requests that the endpoint rejects without running them. */
  shedShare = 0;
  /** Reported in answers and applied to work; undefined if the endpoint reports none. */
  pacePercent: number | undefined;
  protected current: T | undefined;
  /** State that the endpoint announces in its answers; the last one applies. */
  private announcements: AnswerAnnouncements[] = [];
  /** True once this incarnation announces in its answers that it leaves. */
  private saysLeaving = false;
  private stored: StoredState = 'none';
  /** Ids of ended incarnations. */
  private readonly endedIds = new Set<string>();
  private startCount = 0;
  private isReplacing = false;
  private isClosed = false;
  private lastRestart: EndpointRestart | undefined;

  protected constructor(
    protected readonly settings: HostSettings,
    private readonly service: SoakService,
    private readonly lingerMs: number,
  ) {
    this.proxy = new LoopbackProxy(
      settings.publicPort,
      () => this.current?.port,
    );
  }

  /** Sidecars beside the endpoint, each of which keeps a connection to it. */
  abstract readonly sidecars: number;

  get name(): string {
    return this.settings.name;
  }

  get publicPort(): number {
    return this.settings.publicPort;
  }

  get zone(): string {
    return this.settings.zone;
  }

  /** Starts the next incarnation and registers it. */
  async start(): Promise<void> {
    await this.startIncarnation(`${this.settings.name}-${++this.startCount}`);
  }

  private async startIncarnation(id: string): Promise<void> {
    if (this.isClosed) return;
    const port = await this.settings.ports.take();
    const current = this.create(id, port);
    current.sheds = () =>
      this.activeAnnouncement.retryAfter !== undefined ||
      Math.random() < this.shedShare;
    this.saysLeaving = false;
    current.announcements = () => this.activeAnnouncement;
    current.pacePercent = () => this.pacePercent;
    current.onArrival = (requestId, timeLeftMs) => {
      const {service} = this;
      const atMs = systemClock.nowMs();
      this.settings.note({
        type: 'arrived',
        atMs,
        service,
        requestId,
        timeLeftMs,
        endpointId: id,
        limitPerS: parseLimitPerS(this.activeAnnouncement),
        saysLeaving: this.saysLeaving,
        restMs: parseBackoffMs(this.activeAnnouncement),
      });
    };
    this.current = current;
    this.settings.onStart(id);
    this.register();
  }

  /** The restart that the current incarnation came from, if it is ready. */
  get readyRestart(): EndpointRestart | undefined {
    const {lastRestart, current, isReplacing} = this;
    return isReplacing || lastRestart?.id !== current?.id
      ? undefined
      : lastRestart;
  }

  private get activeAnnouncement(): AnswerAnnouncements {
    const leaving = this.saysLeaving ? '1' : undefined;
    return {...this.announcements.at(-1), leaving};
  }

  /** Announces in answers that the endpoint leaves; the result makes it leave in the store too. */
  startAnnouncingLeave(): () => void {
    if (this.isReplacing) return () => {};
    this.saysLeaving = true;
    return () => void this.leave();
  }

  /** Announces state in answers from now on; the result ends the announcement. */
  startAnnouncing(announcement: AnswerAnnouncements): () => void {
    this.announcements = [...this.announcements, announcement];
    return () => {
      this.announcements = this.announcements.filter(
        (one) => one !== announcement,
      );
    };
  }

  /** Writes the correct registration, unless the endpoint is leaving or down. */
  restore(): void {
    if (!this.isReplacing) this.register();
  }

  /** Writes again what a restored store has lost, and removes what had ended. */
  rewriteRegistrations(): void {
    const {store} = this.settings;
    for (const id of this.endedIds) {
      if (store.has(`servers/${id}`)) store.unregister(id);
    }
    this.writeState(this.stored);
  }

  private register(): void {
    this.writeState('ready');
  }

  private writeState(state: StoredState): void {
    const {current, service, zone, settings} = this;
    if (current === undefined) return;
    this.stored = state;
    const {id} = current;
    this.endedIds.delete(id);
    if (state === 'none') settings.store.unregister(id);
    else {
      const registration = current.registration(service, zone, state);
      settings.store.register(id, registration);
    }
  }

  /** Overwrites the registration, or adds a malformed one when the endpoint is down. */
  corruptRegistration(value: string): void {
    const {current, settings} = this;
    settings.store.put(`servers/${current?.id ?? settings.name}`, value);
  }

  /** Crashes and restarts under the same id, then registers again; may drain first. */
  async restart(leavesFirst: boolean): Promise<void> {
    const {current} = this;
    if (this.isReplacing || current === undefined) return;
    this.isReplacing = true;
    if (leavesFirst) {
      this.registerAsDraining();
      await sleep(systemClock, this.lingerMs);
    }
    this.current = undefined;
    this.endIncarnation(current);
    await sleep(systemClock, RESTART_PAUSE_MS);
    this.lastRestart = {id: current.id, atMs: systemClock.nowMs()};
    this.settings.note({
      type: 'endpointBack',
      endpointId: this.lastRestart.id,
      atMs: this.lastRestart.atMs,
    });
    await this.startIncarnation(current.id);
    this.isReplacing = false;
  }

  /** Leaves as planned: registers as draining, keeps serving for a while, and ends. */
  async leave(): Promise<void> {
    await this.replace(async () => {
      this.registerAsDraining();
      await sleep(systemClock, this.lingerMs);
    });
  }

  /** Leaves without draining: removes its registration, keeps serving for a while, and ends. */
  async leaveSilently(): Promise<void> {
    await this.replace(async () => {
      this.unregister();
      await sleep(systemClock, this.lingerMs);
    });
  }

  /** Ends without notice; its registration is removed only afterwards. */
  async crash(): Promise<void> {
    await this.replace(async () => {});
  }

  close(): void {
    this.isClosed = true;
    this.end();
    this.proxy.close();
  }

  protected readonly noteRun = (run: RecordedRun): void => {
    this.settings.note({type: 'run', ...run});
  };

  protected abstract create(id: string, port: number): T;
  protected abstract endIncarnation(current: T): void;

  protected registerAsDraining(): void {
    const {current} = this;
    if (current === undefined) return;
    this.writeState('draining');
    this.noteLeft(current);
  }

  private unregister(): void {
    const {current} = this;
    if (current === undefined) return;
    this.writeState('none');
    this.noteLeft(current);
  }

  private noteLeft({id}: T): void {
    const atMs = systemClock.nowMs();
    this.settings.note({type: 'endpointLeft', endpointId: id, atMs});
  }

  private end(): void {
    const {current} = this;
    this.current = undefined;
    if (current === undefined) return;
    this.endIncarnation(current);
    this.endedIds.add(current.id);
    this.settings.store.unregister(current.id);
  }

  private async replace(beforeEnd: () => Promise<void>): Promise<void> {
    if (this.isReplacing) return;
    this.isReplacing = true;
    await beforeEnd();
    this.end();
    await sleep(systemClock, REPLACEMENT_PAUSE_MS);
    await this.start();
    this.isReplacing = false;
  }
}

function parseLimitPerS({limit}: AnswerAnnouncements): number | undefined {
  return limit === undefined ? undefined : Number(limit);
}

function parseBackoffMs({retryAfter}: AnswerAnnouncements): number | undefined {
  return retryAfter === undefined ? undefined : Number(retryAfter) * 1_000;
}
