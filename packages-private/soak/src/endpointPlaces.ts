import {
  answerSigned,
  eventsOf,
  FakeEngine,
  FakeService,
} from '@lilacledge/platform-standins';
import type {
  AnswerStatements,
  ArrivalListener,
  EngineFleet,
  FakeStore,
  RecordedRun,
} from '@lilacledge/platform-standins';
import {sleep, systemClock} from '@lilacledge/shared';
import {DEADLY_BODY} from './deadlyLedger.js';
import {LoopbackProxy} from './loopbackProxy.js';
import type {PortRange} from './portRange.js';
import {SoakService} from './soakEvent.js';
import type {SoakEvent} from './soakEvent.js';

/** Notice that a leaving engine gives, as on the users' platform. */
const NOTICE_MS = 1_800;

/** Time that a leaving plain endpoint goes on serving: the drain bound and more. */
const SERVICE_LINGER_MS = 3_000;

/** Pause until the next incarnation starts at the same address. */
const REPLACEMENT_PAUSE_MS = 2_200;

/** Pause until the same endpoint starts again under its id. */
const RESTART_PAUSE_MS = 600;

/** Part of calls that a failing service answers with an error of its own. */
const FAILURE_SHARE = 0.5;

/** One incarnation of an endpoint, as the stand-ins have it. */
interface Incarnation {
  readonly id: string;
  readonly port: number;
  sheds: () => boolean;
  statements: () => AnswerStatements;
  onArrival: ArrivalListener;
  registration(service: string, zone: string, state?: string): unknown;
}

/** An endpoint in a later life under its id, and since when. */
export interface StartedAgain {
  readonly id: string;
  readonly atMs: number;
}

/** Where a place is, and what all places share. */
export interface PlaceSettings {
  readonly name: string;
  readonly publicPort: number;
  readonly zone: string;
  readonly store: FakeStore;
  readonly ports: PortRange;
  /** Hears of what its incarnations see. */
  readonly note: (event: SoakEvent) => void;
  /** Hears of each incarnation before it registers. */
  readonly onStart: (endpointId: string) => void;
}

/** One address at which incarnations of an endpoint come and go. */
abstract class EndpointPlace<T extends Incarnation> {
  readonly proxy: LoopbackProxy;
  /** Part of what arrives that it rejects without running it. */
  shedShare = 0;
  protected current: T | undefined;
  /** What it says of itself; the last of them is in force. */
  private said: AnswerStatements[] = [];
  /** True once this incarnation says that it leaves. */
  private saysLeaving = false;
  private started = 0;
  private isReplacing = false;
  private isClosed = false;
  private again: StartedAgain | undefined;

  protected constructor(
    protected readonly settings: PlaceSettings,
    private readonly service: SoakService,
    private readonly lingerMs: number,
  ) {
    this.proxy = new LoopbackProxy(
      settings.publicPort,
      () => this.current?.port,
    );
  }

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
    await this.startAs(`${this.settings.name}-${++this.started}`);
  }

  private async startAs(id: string): Promise<void> {
    if (this.isClosed) return;
    const port = await this.settings.ports.take();
    const current = this.create(id, port);
    current.sheds = () =>
      this.statements.rest !== undefined || Math.random() < this.shedShare;
    this.saysLeaving = false;
    current.statements = () => this.statements;
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
        limitPerS: limitPerSOf(this.statements),
        saysLeaving: this.saysLeaving,
        restMs: restMsOf(this.statements),
      });
    };
    this.current = current;
    this.settings.onStart(id);
    this.register();
  }

  /** Its endpoint, if it is ready in a later life under its id. */
  get startedAgain(): StartedAgain | undefined {
    const {again, current, isReplacing} = this;
    return isReplacing || again?.id !== current?.id ? undefined : again;
  }

  private get statements(): AnswerStatements {
    const leaving = this.saysLeaving ? '1' : undefined;
    return {...this.said.at(-1), leaving};
  }

  /** Says in its answers that it leaves; the result has the store hear of it. */
  sayLeave(): () => void {
    if (this.isReplacing) return () => {};
    this.saysLeaving = true;
    return () => void this.leave();
  }

  /** Says something of itself in its answers from now on; the result ends it. */
  say(statements: AnswerStatements): () => void {
    this.said = [...this.said, statements];
    return () => {
      this.said = this.said.filter((one) => one !== statements);
    };
  }

  /** Writes its entry as it should be, unless it leaves or is away. */
  restore(): void {
    if (!this.isReplacing) this.register();
  }

  private register(): void {
    const {current, service, zone, settings} = this;
    if (current === undefined) return;
    const entry = current.registration(service, zone);
    settings.store.register(current.id, entry);
  }

  /** Another writer overwrites its entry, or an entry beside it. */
  spoil(value: string): void {
    const {current, settings} = this;
    settings.store.put(`servers/${current?.id ?? settings.name}`, value);
  }

  /** Crashes and starts again under its id; the store learns of the new start. */
  async startAgain(leavesFirst: boolean): Promise<void> {
    const {current} = this;
    if (this.isReplacing || current === undefined) return;
    this.isReplacing = true;
    if (leavesFirst) {
      this.announce();
      await sleep(systemClock, this.lingerMs);
    }
    this.current = undefined;
    this.endIncarnation(current);
    await sleep(systemClock, RESTART_PAUSE_MS);
    this.again = {id: current.id, atMs: systemClock.nowMs()};
    this.settings.note({
      type: 'endpointBack',
      endpointId: this.again.id,
      atMs: this.again.atMs,
    });
    await this.startAs(current.id);
    this.isReplacing = false;
  }

  /** Leaves as planned: tells the store, serves on, and is gone. */
  async leave(): Promise<void> {
    await this.replace(async () => {
      this.announce();
      await sleep(systemClock, this.lingerMs);
    });
  }

  /** Leaves without a word to entries: its registration goes, and it serves on. */
  async leaveSilently(): Promise<void> {
    await this.replace(async () => {
      this.unregister();
      await sleep(systemClock, this.lingerMs);
    });
  }

  /** Ends without a word; the store drops its entry later. */
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

  protected announce(): void {
    const {current, service, zone} = this;
    if (current === undefined) return;
    const leaving = current.registration(service, zone, 'draining');
    this.settings.store.register(current.id, leaving);
    this.noteLeft(current);
  }

  private unregister(): void {
    const {current} = this;
    if (current === undefined) return;
    this.settings.store.unregister(current.id);
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
    this.settings.store.unregister(current.id);
  }

  private async replace(before: () => Promise<void>): Promise<void> {
    if (this.isReplacing) return;
    this.isReplacing = true;
    await before();
    this.end();
    await sleep(systemClock, REPLACEMENT_PAUSE_MS);
    await this.start();
    this.isReplacing = false;
  }
}

/** Where engines come and go. */
export class EnginePlace extends EndpointPlace<FakeEngine> {
  constructor(
    settings: PlaceSettings,
    private readonly fleet: EngineFleet,
  ) {
    super(settings, SoakService.DRAFTS, NOTICE_MS);
  }

  set resetsRequests(resets: boolean) {
    if (this.current !== undefined) this.current.resetsRequests = resets;
  }

  protected create(id: string, port: number): FakeEngine {
    const engine = new FakeEngine(
      id,
      port,
      this.fleet,
      ({headers}) => eventsOf(headers),
      this.noteRun,
      this.publicPort,
    );
    engine.onRunEnd = (requestId, isDone) => {
      const atMs = systemClock.nowMs();
      this.settings.note({type: 'runEnded', atMs, requestId, isDone});
    };
    engine.diesOf = ({body}) => body === DEADLY_BODY;
    engine.onEnd = (cause) => {
      if (cause === undefined) return;
      this.settings.note({type: 'deadlyEnd', atMs: systemClock.nowMs()});
      void this.crash();
    };
    return engine;
  }

  protected override announce(): void {
    this.current?.leaveIn(NOTICE_MS);
    super.announce();
  }

  protected endIncarnation(current: FakeEngine): void {
    current.crash();
  }
}

/** Where plain endpoints come and go. */
export class ServicePlace extends EndpointPlace<FakeService> {
  constructor(settings: PlaceSettings) {
    super(settings, SoakService.BOOKINGS, SERVICE_LINGER_MS);
  }

  set isFailing(isFailing: boolean) {
    const service = this.current;
    if (service === undefined) return;
    service.answer = (seen, response) => {
      const fails = isFailing && Math.random() < FAILURE_SHARE;
      answerSigned(service.id, seen, response, fails ? 500 : 200);
    };
  }

  protected create(id: string, port: number): FakeService {
    return new FakeService(id, port, undefined, this.noteRun, this.publicPort);
  }

  protected endIncarnation(current: FakeService): void {
    current.close();
  }
}

function limitPerSOf({limit}: AnswerStatements): number | undefined {
  return limit === undefined ? undefined : Number(limit);
}

function restMsOf({rest}: AnswerStatements): number | undefined {
  return rest === undefined ? undefined : Number(rest) * 1_000;
}
