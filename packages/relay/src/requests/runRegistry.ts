import type {RunOutlook} from '@lilacledge/policy';
import type {Endpoint} from '../endpoints/endpoint.js';
import type {MemorySource} from '../ports.js';

/** How a run goes on at another endpoint. */
export interface Handover {
  /** Endpoints that can go on with the run, the best first. */
  readonly destinations: readonly Endpoint[];
  readonly source: MemorySource;
}

/** One generation whose stream this process carries. */
export class ActiveRun {
  /** Events that were handed to the caller. */
  eventsRelayed = 0;
  lastEventId: string | undefined;
  lastEventAtMs: number | undefined;
  /** Set while the run is being stopped to go on elsewhere. */
  handover: Promise<Handover | undefined> | undefined;
  /** Where else the run may go on, until it does. */
  otherPlaces: Handover | undefined;

  constructor(
    readonly requestId: string,
    /** Where the run is now. */
    public endpoint: Endpoint,
    readonly promptTokens: number,
    readonly expectedOutputTokens: number,
    readonly tokensPerEvent: number,
    readonly startedMs: number,
    /** True where the run may be served. */
    readonly mayBeAt: (endpoint: Endpoint) => boolean = () => true,
  ) {}

  /** What is known of the run's length. */
  get outlook(): RunOutlook {
    const {requestId, promptTokens, expectedOutputTokens} = this;
    const producedTokens = this.eventsRelayed * this.tokensPerEvent;
    return {requestId, promptTokens, expectedOutputTokens, producedTokens};
  }

  /** Memory that the run fills now. */
  get memoryTokens(): number {
    return this.promptTokens + this.eventsRelayed * this.tokensPerEvent;
  }
}

/** What follows the runs of this process from endpoint to endpoint. */
export interface RunListener {
  arrived(run: ActiveRun, endpoint: Endpoint): void;
  departed(run: ActiveRun, endpoint: Endpoint): void;
}

/** The generations of this process, by request. */
export class RunRegistry {
  private readonly byId = new Map<string, ActiveRun>();
  private listener: RunListener | undefined;

  get size(): number {
    return this.byId.size;
  }

  get(requestId: string): ActiveRun | undefined {
    return this.byId.get(requestId);
  }

  follow(listener: RunListener): void {
    this.listener = listener;
  }

  add(run: ActiveRun): void {
    this.byId.set(run.requestId, run);
    this.listener?.arrived(run, run.endpoint);
  }

  /** The run goes on at another endpoint. */
  relocate(run: ActiveRun, endpoint: Endpoint): void {
    const before = run.endpoint;
    if (before === endpoint) return;
    run.endpoint = endpoint;
    this.listener?.departed(run, before);
    this.listener?.arrived(run, endpoint);
  }

  remove(run: ActiveRun): void {
    if (this.byId.get(run.requestId) !== run) return;
    this.byId.delete(run.requestId);
    this.listener?.departed(run, run.endpoint);
  }

  all(): Iterable<ActiveRun> {
    return this.byId.values();
  }

  /** The runs that are at an endpoint now. */
  at(endpoint: Endpoint): ActiveRun[] {
    return [...this.byId.values()].filter((run) => run.endpoint === endpoint);
  }
}
