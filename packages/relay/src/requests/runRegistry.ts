import type {RunOutlook, StreamPosition} from '@lilacledge/policy';
import type {Endpoint} from '../endpoints/endpoint.js';
import type {MemorySource} from '../ports.js';

/** How a run can continue at another endpoint. */
export interface Handover {
  /** Endpoints that can continue the run, best first. */
  readonly destinations: readonly Endpoint[];
  readonly source: MemorySource;
}

/** Properties of a run that not every request has. */
export interface RunOptions {
  /** Whether an endpoint is in an allowed region of the run's request; all are by default. */
  readonly isAllowedAt?: (endpoint: Endpoint) => boolean;
  /** Longest pause between events that meets the goal of its route, if it has one. */
  readonly pauseGoalMs?: number;
  /** Priority at engines, 0 first; undefined for the engine's default. */
  readonly enginePriority?: number;
  /** Name of the organisation that it belongs to, if any. */
  readonly organisation?: string;
  /** Where the caller stands before the run; at the beginning by default. */
  readonly position?: StreamPosition;
}

/** A generation whose stream this process relays. */
export class ActiveRun {
  /** Events written to the caller. */
  eventsRelayed = 0;
  /** Where the caller stands in the stream. */
  position: StreamPosition;
  firstEventAtMs: number | undefined;
  lastEventAtMs: number | undefined;
  /** True once an event came later than the goals of the route allow. */
  isLate = false;
  /** True once it was stopped to be moved from an engine that stays. */
  hasMovedForBalance = false;
  /** Set while the run is being stopped in order to continue at another endpoint. */
  handover: Promise<Handover | undefined> | undefined;
  /** Whether each order to stop the run at its endpoint may have taken effect. */
  private stopOrders: Array<Promise<boolean>> = [];
  /** Destinations not tried yet; cleared once the run continues at one of them. */
  remainingHandover: Handover | undefined;

  constructor(
    readonly requestId: string,
    /** The endpoint that the run is assigned to now. */
    public endpoint: Endpoint,
    readonly promptTokens: number,
    readonly expectedOutputTokens: number,
    readonly tokensPerEvent: number,
    readonly startedMs: number,
    readonly options: RunOptions = {},
  ) {
    this.position = options.position ?? {kind: 'beginning'};
  }

  /** An order to stop the run at its endpoint was sent. */
  noteStopOrder(mayHaveStopped: Promise<boolean>): void {
    this.stopOrders.push(mayHaveStopped);
  }

  /** Whether an order may have stopped the run at its endpoint, once all were answered. */
  async mayBeStopped(): Promise<boolean> {
    return (await Promise.all(this.stopOrders)).includes(true);
  }

  /** Assigns the run to the endpoint that runs it next. */
  assignTo(endpoint: Endpoint): void {
    this.endpoint = endpoint;
    this.stopOrders = [];
  }

  /** Whether an endpoint is in an allowed region of the run's request. */
  isAllowedAt(endpoint: Endpoint): boolean {
    return this.options.isAllowedAt?.(endpoint) ?? true;
  }

  get pauseGoalMs(): number | undefined {
    return this.options.pauseGoalMs;
  }

  get enginePriority(): number | undefined {
    return this.options.enginePriority;
  }

  get organisation(): string | undefined {
    return this.options.organisation;
  }

  /** Input for predictions of the run's remaining length. */
  get outlook(): RunOutlook {
    const {requestId, promptTokens, expectedOutputTokens} = this;
    const producedTokens = this.eventsRelayed * this.tokensPerEvent;
    return {requestId, promptTokens, expectedOutputTokens, producedTokens};
  }

  /**
   * Events that the run is expected to produce from now on. Lengths vary so much around the
   * caller's estimate that the median rest stays near the estimate, and later near what was
   * produced, as far as the run has come.
   */
  get expectedEventsLeft(): number {
    const {expectedOutputTokens, producedTokens} = this.outlook;
    const leftTokens = Math.max(expectedOutputTokens, producedTokens);
    return Math.ceil(leftTokens / this.tokensPerEvent);
  }

  /** Mean gap between the events so far; undefined before the second event. */
  get meanGapMs(): number | undefined {
    const {firstEventAtMs, lastEventAtMs, eventsRelayed} = this;
    if (firstEventAtMs === undefined || lastEventAtMs === undefined) {
      return undefined;
    }
    if (eventsRelayed < 2) return undefined;
    return (lastEventAtMs - firstEventAtMs) / (eventsRelayed - 1);
  }

  /** Engine memory that the run occupies now. */
  get memoryTokens(): number {
    return this.promptTokens + this.eventsRelayed * this.tokensPerEvent;
  }
}

/** Notified when a run of this process is assigned to an endpoint or leaves it. */
export interface RunListener {
  arrived(run: ActiveRun, endpoint: Endpoint): void;
  departed(run: ActiveRun, endpoint: Endpoint): void;
}

/** The active generations of this process, by request id. */
export class RunRegistry {
  private readonly byId = new Map<string, ActiveRun>();
  private listener: RunListener | undefined;

  get size(): number {
    return this.byId.size;
  }

  get(requestId: string): ActiveRun | undefined {
    return this.byId.get(requestId);
  }

  setListener(listener: RunListener): void {
    this.listener = listener;
  }

  add(run: ActiveRun): void {
    this.byId.set(run.requestId, run);
    this.listener?.arrived(run, run.endpoint);
  }

  /** Assigns a run to the endpoint that continues it. */
  relocate(run: ActiveRun, endpoint: Endpoint): void {
    const previous = run.endpoint;
    run.assignTo(endpoint);
    if (previous === endpoint) return;
    this.listener?.departed(run, previous);
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

  /** The runs that are assigned to an endpoint now. */
  at(endpoint: Endpoint): ActiveRun[] {
    return [...this.byId.values()].filter((run) => run.endpoint === endpoint);
  }
}
