import {
  answerSigned,
  eventsOf,
  FakeEngine,
  FakeService,
} from '@lilacledge/platform-standins';
import type {
  EngineFleet,
  FakeStore,
  RunListener,
} from '@lilacledge/platform-standins';
import {sleep, systemClock} from '@lilacledge/shared';
import {LoopbackProxy} from './loopbackProxy.js';
import type {PortRange} from './portRange.js';

/** Notice that a leaving engine gives, as on the users' platform. */
const NOTICE_MS = 1_800;

/** Time that a leaving plain endpoint goes on serving: the drain bound and more. */
const SERVICE_LINGER_MS = 3_000;

/** Pause until the next incarnation starts at the same address. */
const REPLACEMENT_PAUSE_MS = 2_200;

/** Part of calls that a failing service answers with an error of its own. */
const FAILURE_SHARE = 0.5;

/** One address at which incarnations of an endpoint come and go. */
abstract class EndpointPlace {
  readonly proxy: LoopbackProxy;
  private incarnation = 0;
  private isReplacing = false;
  protected isClosed = false;

  protected constructor(
    readonly name: string,
    readonly publicPort: number,
    readonly zone: string,
    protected readonly store: FakeStore,
    private readonly ports: PortRange,
  ) {
    this.proxy = new LoopbackProxy(publicPort, () => this.servingPort);
  }

  /** Starts the next incarnation and registers it. */
  async start(): Promise<void> {
    if (this.isClosed) return;
    const id = `${this.name}-${++this.incarnation}`;
    this.begin(id, await this.ports.take());
  }

  /** Leaves as planned: tells the store, serves on, and is gone. */
  async leave(): Promise<void> {
    await this.replace(async () => {
      this.announce();
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

  protected abstract readonly servingPort: number | undefined;
  protected abstract readonly lingerMs: number;
  protected abstract begin(id: string, port: number): void;
  protected abstract announce(): void;
  /** Ends the incarnation at once and drops its registration. */
  protected abstract end(): void;

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
export class EnginePlace extends EndpointPlace {
  protected readonly lingerMs = NOTICE_MS;
  private engine: FakeEngine | undefined;

  constructor(
    name: string,
    publicPort: number,
    zone: string,
    store: FakeStore,
    ports: PortRange,
    private readonly fleet: EngineFleet,
    private readonly onRun: RunListener,
  ) {
    super(name, publicPort, zone, store, ports);
  }

  set resetsRequests(resets: boolean) {
    if (this.engine !== undefined) this.engine.resetsRequests = resets;
  }

  protected get servingPort(): number | undefined {
    return this.engine?.port;
  }

  protected begin(id: string, port: number): void {
    const engine = new FakeEngine(
      id,
      port,
      this.fleet,
      ({headers}) => eventsOf(headers),
      this.onRun,
      this.publicPort,
    );
    this.engine = engine;
    this.store.register(id, engine.registration('drafts', this.zone));
  }

  protected announce(): void {
    const {engine} = this;
    if (engine === undefined) return;
    engine.leaveIn(NOTICE_MS);
    const leaving = engine.registration('drafts', this.zone, 'draining');
    this.store.register(engine.id, leaving);
  }

  protected end(): void {
    const {engine} = this;
    this.engine = undefined;
    if (engine === undefined) return;
    engine.crash();
    this.store.unregister(engine.id);
  }
}

/** Where plain endpoints come and go. */
export class ServicePlace extends EndpointPlace {
  protected readonly lingerMs = SERVICE_LINGER_MS;
  private service: FakeService | undefined;

  constructor(
    name: string,
    publicPort: number,
    zone: string,
    store: FakeStore,
    ports: PortRange,
    private readonly onRun: RunListener,
  ) {
    super(name, publicPort, zone, store, ports);
  }

  set isFailing(isFailing: boolean) {
    const {service} = this;
    if (service === undefined) return;
    service.answer = (seen, response) => {
      const fails = isFailing && Math.random() < FAILURE_SHARE;
      answerSigned(service.id, seen, response, fails ? 500 : 200);
    };
  }

  protected get servingPort(): number | undefined {
    return this.service?.port;
  }

  protected begin(id: string, port: number): void {
    const service = new FakeService(
      id,
      port,
      undefined,
      this.onRun,
      this.publicPort,
    );
    this.service = service;
    this.store.register(id, service.registration('bookings', this.zone));
  }

  protected announce(): void {
    const {service} = this;
    if (service === undefined) return;
    const leaving = service.registration('bookings', this.zone, 'draining');
    this.store.register(service.id, leaving);
  }

  protected end(): void {
    const {service} = this;
    this.service = undefined;
    if (service === undefined) return;
    service.close();
    this.store.unregister(service.id);
  }
}
