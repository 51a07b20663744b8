import {compareWaiting, decideRoom, DrainRate} from '@lilacledge/policy';
import type {
  RoomDecision,
  RoomQuestion,
  WaitingPlace,
} from '@lilacledge/policy';
import {middleOfRange} from '@lilacledge/shared';
import type {Clock, Random} from '@lilacledge/shared';
import {ALL_ON} from '../switches.js';
import type {Switches} from '../switches.js';

/** How often waiting requests are looked at without a new report. */
const ROUND_INTERVAL_MS = 40;

/** A shortage goes on through pauses up to this long in which nobody waits. */
const SHORTAGE_GAP_MS = 1_000;

/** What a waiting request knows of itself, as of now. */
export type WaiterOutlook = Omit<RoomQuestion, 'expectedWaitMs' | 'shortForMs'>;

/** A request that waits for room, with what it takes to find some. */
export interface Waiter<T> {
  readonly place: WaitingPlace;
  readonly signal: AbortSignal;
  /** Memory that it needs. */
  readonly tokens: number;
  /** Takes room if there is some; called in order of `place`. */
  tryTake(): T | undefined;
  outlook(): WaiterOutlook;
}

/** How a request left the queue. */
export type Admission<T> =
  | {readonly kind: 'taken'; readonly taken: T}
  | {
      readonly kind: 'refused';
      readonly retryAfterMs: number;
      readonly expectedWaitMs: number;
    }
  | {readonly kind: 'callerLeft'};

interface Queued<T> {
  readonly waiter: Waiter<T>;
  readonly settle: (admission: Admission<T>) => void;
}

/** Requests of one service that wait at this entry for room at an engine. */
export class AdmissionQueue<T> {
  private queued: Array<Queued<T>> = [];
  private readonly drain = new DrainRate();
  /** When somebody was last seen to wait; undefined while nobody does. */
  private waitedSinceMs: number | undefined;
  /** Since when room has been short. */
  private shortSinceMs = 0;
  /** When somebody last waited or was refused. */
  private lastShortMs = -Infinity;
  private cancelTimer: (() => void) | undefined;
  /** Memory that was taken since the last round and proved to be gone. */
  private returnedTokens = 0;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly switches: Switches = ALL_ON,
  ) {}

  get length(): number {
    return this.queued.length;
  }

  /**
   * Room that was taken proved to be gone: nothing was admitted. Counted as admitted it
   * would make the queue look as if it drained, and its callers wait in vain.
   */
  noteReturned(tokens: number): void {
    this.returnedTokens += tokens;
  }

  /** Resolves when room was taken, or is no longer worth waiting for. */
  admit(waiter: Waiter<T>): Promise<Admission<T>> {
    return new Promise((resolve) => {
      this.queued.push({waiter, settle: resolve});
      this.round();
    });
  }

  /** Something may have become free. */
  poke(): void {
    if (this.queued.length > 0) this.round();
  }

  private round(): void {
    this.cancelTimer?.();
    this.cancelTimer = undefined;
    const nowMs = this.clock.nowMs();
    this.queued.sort((a, b) =>
      compareWaiting(a.waiter.place, b.waiter.place, nowMs),
    );
    const {waiting, admittedTokens} = this.takeRoom();
    // What is admitted while nobody waits says nothing of how a queue drains.
    if (this.waitedSinceMs !== undefined) {
      const drainedTokens = admittedTokens - this.returnedTokens;
      this.drain.note(nowMs - this.waitedSinceMs, drainedTokens);
    }
    this.returnedTokens = 0;
    if (waiting.length > 0) this.noteShort(nowMs);
    this.queued = this.keepHopeful(waiting, nowMs - this.shortSinceMs);
    const isEmpty = this.queued.length === 0;
    this.waitedSinceMs = isEmpty ? undefined : nowMs;
    if (isEmpty) return;
    this.cancelTimer = this.clock.after(ROUND_INTERVAL_MS, () => this.round());
  }

  /** Lets all take room who can. */
  private takeRoom(): {waiting: Array<Queued<T>>; admittedTokens: number} {
    let admittedTokens = 0;
    const waiting = this.queued.filter((item) => {
      const {waiter, settle} = item;
      if (waiter.signal.aborted) {
        settle({kind: 'callerLeft'});
        return false;
      }
      const taken = waiter.tryTake();
      if (taken === undefined) return true;
      admittedTokens += waiter.tokens;
      settle({kind: 'taken', taken});
      return false;
    });
    return {waiting, admittedTokens};
  }

  private noteShort(nowMs: number): void {
    if (nowMs > this.lastShortMs + SHORTAGE_GAP_MS) this.shortSinceMs = nowMs;
    this.lastShortMs = nowMs;
  }

  private decide(question: RoomQuestion): RoomDecision {
    const {waitForRoom, spreadReturns} = this.switches;
    const goalLeftMs = waitForRoom ? question.goalLeftMs : 0;
    const random = spreadReturns ? this.random : middleOfRange;
    return decideRoom({...question, goalLeftMs}, random);
  }

  /** Refuses those for whom no room is to be expected in time. */
  private keepHopeful(
    waiting: ReadonlyArray<Queued<T>>,
    shortForMs: number,
  ): Array<Queued<T>> {
    let aheadTokens = 0;
    return waiting.filter(({waiter, settle}) => {
      aheadTokens += waiter.tokens;
      const expectedWaitMs = this.drain.timeForMs(aheadTokens);
      const question = {...waiter.outlook(), expectedWaitMs, shortForMs};
      const decision = this.decide(question);
      if (decision.kind === 'wait') return true;
      aheadTokens -= waiter.tokens;
      const {retryAfterMs} = decision;
      settle({kind: 'refused', retryAfterMs, expectedWaitMs});
      return false;
    });
  }
}
