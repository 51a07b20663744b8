import {compareWaiting, decideRoom} from '@lilacledge/policy';
import type {
  RoomDecision,
  RoomRequest,
  QueuePosition,
} from '@lilacledge/policy';
import {alwaysHalf} from '@lilacledge/shared';
import type {Clock, Random} from '@lilacledge/shared';
import {ALL_ON} from '../switches.js';
import type {Switches} from '../switches.js';
import {ClassDrain} from './classDrain.js';
import type {FleetDemand, WaitingDemand} from './fleetDemand.js';

/** How often the queue is processed when no new load report arrives. */
const RECHECK_INTERVAL_MS = 40;

/** The current state of a waiting request, used to decide whether it keeps waiting. */
export type WaiterOutlook = Omit<RoomRequest, 'expectedWaitMs' | 'shortForMs'>;

/** A request that waits for room at an engine. */
export interface Waiter<T> {
  readonly position: QueuePosition;
  readonly signal: AbortSignal;
  /** Name of the caller's organisation, if any. */
  readonly organisation?: string;
  /** Engine memory that the request needs. */
  readonly tokens: number;
  /**
   * Reserves room if there is any; called in order of `position`. The request leaves
   * `owedTokens` free for a while, for those that go before it at other entries.
   */
  tryReserve(owedTokens: number): T | undefined;
  outlook(): WaiterOutlook;
}

/** Why a request left the queue. */
export type Admission<T> =
  | {readonly kind: 'taken'; readonly taken: T}
  | {
      readonly kind: 'refused';
      readonly retryAfterMs: number;
      readonly expectedWaitMs: number;
      /** True if it exceeded the fair share of its organisation. */
      readonly isAboveShare: boolean;
    }
  | {readonly kind: 'callerLeft'};

interface QueuedWaiter<T> {
  readonly waiter: Waiter<T>;
  /** The waiter's position, with the share of its organisation. */
  position: QueuePosition;
  owedTokens: number;
  readonly settle: (admission: Admission<T>) => void;
}

interface RefusedWaiter<T> {
  readonly item: QueuedWaiter<T>;
  readonly question: RoomRequest;
  readonly retryAfterMs: number;
}

/** Queue of the requests of one service that wait at this entry for room at an engine. */
export class AdmissionQueue<T> {
  private queued: Array<QueuedWaiter<T>> = [];
  /** How fast urgent requests, and those that can wait, get room. */
  private readonly drains = {
    urgent: new ClassDrain(),
    canWait: new ClassDrain(),
  };
  private cancelTimer: (() => void) | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly switches: Switches = ALL_ON,
    /** Demand over all entries, for shares of organisations and shared returns. */
    private readonly fleet?: FleetDemand,
  ) {}

  get length(): number {
    return this.queued.length;
  }

  /**
   * Room that was reserved proved to be unavailable, so nothing was admitted. If it counted
   * as admitted, the queue would seem to drain and callers would wait in vain.
   */
  noteWithdrawn(tokens: number, position: QueuePosition): void {
    this.drainOf(position).noteWithdrawn(tokens);
  }

  /** Resolves when room was reserved, or when waiting is no longer worthwhile. */
  admit(waiter: Waiter<T>): Promise<Admission<T>> {
    return new Promise((resolve) => {
      const {position} = waiter;
      this.queued.push({waiter, position, owedTokens: 0, settle: resolve});
      this.processQueue();
    });
  }

  /** Processes the queue again, as room may have become free. */
  recheck(): void {
    if (this.queued.length > 0) this.processQueue();
  }

  private processQueue(): void {
    this.cancelTimer?.();
    this.cancelTimer = undefined;
    const nowMs = this.clock.nowMs();
    this.sortQueue(nowMs);
    const waiting = this.admitWaiting();
    const {urgent, canWait} = this.drains;
    urgent.noteProcessed(nowMs);
    canWait.noteProcessed(nowMs);
    for (const {waiter} of waiting) {
      this.drainOf(waiter.position).noteShort(nowMs);
    }
    this.queued = this.refuseUnlikely(waiting, nowMs);
    this.fleet?.noteWaiting(this.queued.map(toDemand));
    for (const {waiter} of this.queued) {
      this.drainOf(waiter.position).noteWaiting(nowMs);
    }
    if (this.queued.length === 0) return;
    this.cancelTimer = this.clock.after(RECHECK_INTERVAL_MS, () =>
      this.processQueue(),
    );
  }

  private sortQueue(nowMs: number): void {
    const compare = (a: QueuedWaiter<T>, b: QueuedWaiter<T>): number =>
      compareWaiting(a.position, b.position, nowMs);
    for (const item of this.queued) {
      item.position = item.waiter.position;
      item.owedTokens = 0;
    }
    this.queued.sort(compare);
    const places = this.fleet?.sharePlaces(this.queued.map(toDemand));
    if (places === undefined) return;
    this.queued.forEach((item, index) => {
      const {isAboveShare, owedTokens} = places[index]!;
      item.position = {...item.position, isAboveShare};
      item.owedTokens = owedTokens;
    });
    this.queued.sort(compare);
  }

  /** Admits all waiting requests that find room; returns the others. */
  private admitWaiting(): Array<QueuedWaiter<T>> {
    return this.queued.filter((item) => {
      const {waiter, settle} = item;
      if (waiter.signal.aborted) {
        settle({kind: 'callerLeft'});
        return false;
      }
      const taken = waiter.tryReserve(item.owedTokens);
      if (taken === undefined) return true;
      this.drainOf(waiter.position).noteAdmitted(waiter.tokens);
      settle({kind: 'taken', taken});
      return false;
    });
  }

  /** Rate of both classes, whose callers share the returns; undefined before any was measured. */
  private get measuredTokensPerMs(): number | undefined {
    const {urgent, canWait} = this.drains;
    const rates = [urgent, canWait].flatMap(
      ({measuredTokensPerMs}) => measuredTokensPerMs ?? [],
    );
    if (rates.length === 0) return undefined;
    return rates.reduce((sum, rate) => sum + rate, 0);
  }

  private drainOf({canWait}: QueuePosition): ClassDrain {
    return canWait ? this.drains.canWait : this.drains.urgent;
  }

  private decide(question: RoomRequest): RoomDecision {
    const {waitForRoom, spreadReturns} = this.switches;
    const goalLeftMs = waitForRoom ? question.goalLeftMs : 0;
    const random = spreadReturns ? this.random : alwaysHalf;
    return decideRoom({...question, goalLeftMs}, random);
  }

  /** Refuses the requests that are unlikely to get room in time; returns the others. */
  private refuseUnlikely(
    waiting: ReadonlyArray<QueuedWaiter<T>>,
    nowMs: number,
  ): Array<QueuedWaiter<T>> {
    const aheadTokens = new Map<ClassDrain, number>();
    const refused: Array<RefusedWaiter<T>> = [];
    const kept = waiting.filter((item) => {
      const {waiter} = item;
      const drain = this.drainOf(waiter.position);
      const tokens = (aheadTokens.get(drain) ?? 0) + waiter.tokens;
      const expectedWaitMs = drain.expectedWaitMs(tokens);
      const shortForMs = drain.shortForMs(nowMs);
      const question = {...waiter.outlook(), expectedWaitMs, shortForMs};
      const decision = this.decide(question);
      if (decision.kind === 'wait') {
        aheadTokens.set(drain, tokens);
        return true;
      }
      refused.push({item, question, retryAfterMs: decision.retryAfterMs});
      return false;
    });
    this.refuse(refused);
    return kept;
  }

  private refuse(refused: ReadonlyArray<RefusedWaiter<T>>): void {
    const tokensPerMs = this.measuredTokensPerMs;
    const times = this.fleet?.retryTimes(
      refused.map(({item, question, retryAfterMs}) => {
        return {waiting: toDemand(item), question, retryAfterMs, tokensPerMs};
      }),
    );
    refused.forEach(({item, question, retryAfterMs}, index) => {
      const {expectedWaitMs} = question;
      item.settle({
        kind: 'refused',
        retryAfterMs: times?.[index] ?? retryAfterMs,
        expectedWaitMs,
        isAboveShare: item.position.isAboveShare ?? false,
      });
    });
  }
}

function toDemand<T>({waiter, position}: QueuedWaiter<T>): WaitingDemand {
  const {organisation, tokens} = waiter;
  return {organisation, tokens, position};
}
