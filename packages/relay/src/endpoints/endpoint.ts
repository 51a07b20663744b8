import {lastWorkEndsMs, OutcomeHealth} from '@lilacledge/policy';
import type {Doubt, LeaveNews} from '@lilacledge/policy';
import type {CancelTimer} from '@lilacledge/shared';
import {EndpointState} from '../model/index.js';
import type {EndpointRecord, EngineLoad} from '../model/index.js';
import type {EndpointLoad} from '../ports.js';
import {ALL_ON} from '../switches.js';
import type {Switches} from '../switches.js';
import {EndpointTerms} from './endpointTerms.js';
import {NO_EVACUATIONS} from './zoneEvacuations.js';
import type {ZoneWork} from './zoneEvacuations.js';

/** Something that was learned at some time. */
export interface Dated<T> {
  readonly value: T;
  readonly atMs: number;
}

/** Where it was learned that an endpoint leaves. */
export const LeaveSource = {
  STORE: 'store',
  REPORT: 'report',
  /** The endpoint's own answer. */
  ANSWER: 'answer',
  /** An answer of another life at its address. */
  REPLACED: 'replaced',
  REMOVED: 'removed',
} as const;
export type LeaveSource = (typeof LeaveSource)[keyof typeof LeaveSource];

/** One life of an endpoint, with what this process knows of it. */
export class Endpoint {
  readonly health: OutcomeHealth;
  /** Requests that this process has open there. */
  outstanding = 0;
  /** The store's revision of its registration. */
  revision = 0;
  /** Memory of runs that this process is moving there. */
  promisedTokens = 0;
  load: Dated<EndpointLoad> | undefined;
  report: Dated<EngineLoad> | undefined;
  /** When it is expected to be gone; undefined while nobody said. */
  leavesAtMs: number | undefined;
  /** When the store dropped its entry. */
  removedAtMs: number | undefined;
  /** True once another life has its id or its address: nothing of it is left. */
  hasEnded = false;
  /**
   * True while its key in the store holds an entry that names no endpoint: another
   * writer's. Open work goes on, new work goes elsewhere.
   */
  isDisowned = false;
  /** Ends the time for which a removed endpoint is known. */
  cancelDrop: CancelTimer = () => {};
  /** True once it registered that it leaves, which it does not take back. */
  hasSaidLeave = false;
  /** True when the store itself showed that it leaves. */
  private isLeaveInStore = false;
  /** What the store and other processes tell of its leave. */
  private leaves: readonly LeaveNews[] = [];
  /** Until when it is cold, as it said. */
  private warmUntilMs: number;
  /** When it was last back after its registration had lapsed. */
  backAtMs: number | undefined;

  constructor(
    public record: EndpointRecord,
    nowMs: number,
    onDoubt: (endpoint: Endpoint, doubt: Doubt) => void = () => {},
    private readonly switches: Switches = ALL_ON,
    private readonly zones: ZoneWork = NO_EVACUATIONS,
    /** What it says of itself in its answers. */
    readonly terms = new EndpointTerms(),
  ) {
    const {doubts} = switches;
    this.health = new OutcomeHealth((doubt) => onDoubt(this, doubt), doubts);
    this.warmUntilMs = nowMs + record.warmupLeftMs;
  }

  get id(): string {
    return this.record.id;
  }

  get isLeaving(): boolean {
    return this.allLeaves.length > 0;
  }

  /** The first news of its leave of each kind; what it said itself is never taken back. */
  private get allLeaves(): readonly LeaveNews[] {
    const {leavingSinceMs: atMs} = this.terms;
    if (atMs === undefined) return this.leaves;
    return [...this.leaves, {kind: 'told', atMs}];
  }

  /** True while it is among those that new work is spread over. */
  get isCandidate(): boolean {
    const {isLeaving, isDisowned, hasEnded, record, zones} = this;
    if (isLeaving || isDisowned || hasEnded) return false;
    return !zones.isEvacuated(record.zone);
  }

  /**
   * True while work may still be sent there: always until it leaves or its zone is
   * evacuated, and then for part of the time in which that is allowed, as a last
   * resort.
   */
  mayGetWork(nowMs: number, drainMs: number): boolean {
    if (this.isDisowned || this.hasEnded) return false;
    if (!this.zones.mayGetWork(this.record.zone, nowMs)) return false;
    return this.allLeaves.every(
      (news) => nowMs < lastWorkEndsMs(news, drainMs),
    );
  }

  /**
   * Until when it is to be taken for cold, if that lasts `durationMs`: it may have
   * become so before it says so, while its registration or its zone was away.
   */
  coldUntilMs(durationMs: number): number {
    const takenBackAtMs = this.zones.takenBackAtMs(this.record.zone);
    const sinceMs = Math.max(
      this.backAtMs ?? -Infinity,
      takenBackAtMs ?? -Infinity,
    );
    return Math.max(this.warmUntilMs, sinceMs + durationMs);
  }

  /** True while the endpoint is slow after its start. */
  isWarming(nowMs: number): boolean {
    return this.switches.warmUp && nowMs < this.warmUntilMs;
  }

  /**
   * Takes a newer registration of the same life, which was made after `clearMs`;
   * true when the endpoint began to leave. One that is ready after its
   * removal had lapsed and is back.
   */
  update(record: EndpointRecord, nowMs: number, clearMs = nowMs): boolean {
    this.record = record;
    this.isDisowned = false;
    this.removedAtMs = undefined;
    this.cancelDrop();
    this.warmUntilMs = nowMs + record.warmupLeftMs;
    if (record.state === EndpointState.DRAINING) {
      this.hasSaidLeave = true;
      return this.noteLeavingInStore(clearMs);
    }
    if (this.isLeaveInStore) this.takeBackLeave();
    return false;
  }

  /**
   * The store shows that it leaves, and did not at `clearMs`; true when this is the
   * first word of it.
   */
  noteLeavingInStore(clearMs: number): boolean {
    this.isLeaveInStore = true;
    return this.noteLeave({kind: 'stored', clearMs});
  }

  /** Another process told at `atMs` that it leaves; true at the first word of it. */
  noteLeaveTold(atMs: number, leavesAtMs?: number): boolean {
    if (leavesAtMs !== undefined) this.leavesAtMs = leavesAtMs;
    return this.noteLeave({kind: 'told', atMs});
  }

  /** Its own answer says that it leaves; true when this is the first word of it. */
  noteSaidLeave(nowMs: number): boolean {
    const isFirst = !this.isLeaving;
    this.terms.noteLeaving(nowMs);
    return isFirst;
  }

  private noteLeave(news: LeaveNews): boolean {
    const isFirst = !this.isLeaving;
    const isKnown = this.leaves.some(({kind}) => kind === news.kind);
    if (!isKnown) this.leaves = [...this.leaves, news];
    return isFirst;
  }

  private takeBackLeave(): void {
    this.isLeaveInStore = false;
    this.leaves = [];
    this.leavesAtMs = undefined;
  }

  noteReport(report: EngineLoad, nowMs: number): void {
    this.report = {value: report, atMs: nowMs};
  }
}
