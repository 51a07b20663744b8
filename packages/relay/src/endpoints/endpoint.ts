import {mayGetLastWork, OutcomeHealth} from '@lilacledge/policy';
import type {Doubt} from '@lilacledge/policy';
import type {CancelTimer} from '@lilacledge/shared';
import {EndpointState} from '../model/index.js';
import type {EndpointRecord, EngineLoad} from '../model/index.js';
import type {EndpointLoad} from '../ports.js';
import {ALL_ON} from '../switches.js';
import type {Switches} from '../switches.js';

/** Something that was learned at some time. */
export interface Dated<T> {
  readonly value: T;
  readonly atMs: number;
}

/** Where it was learned that an endpoint leaves. */
export const LeaveSource = {
  STORE: 'store',
  REPORT: 'report',
  ANSWER: 'answer',
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
  /** When it left at the earliest, as far as this process can tell. */
  leavingSinceMs: number | undefined;
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
  private warmUntilMs: number;

  constructor(
    public record: EndpointRecord,
    nowMs: number,
    onDoubt: (endpoint: Endpoint, doubt: Doubt) => void = () => {},
    private readonly switches: Switches = ALL_ON,
  ) {
    const {doubts} = switches;
    this.health = new OutcomeHealth((doubt) => onDoubt(this, doubt), doubts);
    this.warmUntilMs = nowMs + record.warmupLeftMs;
  }

  get id(): string {
    return this.record.id;
  }

  get isLeaving(): boolean {
    return this.leavingSinceMs !== undefined;
  }

  /** True while it is among those that new work is spread over. */
  get isCandidate(): boolean {
    return !this.isLeaving && !this.isDisowned && !this.hasEnded;
  }

  /**
   * True while work may still be sent there: always until it leaves, and then
   * for part of the time in which that is allowed, as a last resort.
   */
  mayGetWork(nowMs: number, drainMs: number): boolean {
    if (this.isDisowned || this.hasEnded) return false;
    if (this.leavingSinceMs === undefined) return true;
    return mayGetLastWork(this.leavingSinceMs, nowMs, drainMs);
  }

  /** True while the endpoint is slow after its start. */
  isWarming(nowMs: number): boolean {
    return this.switches.warmUp && nowMs < this.warmUntilMs;
  }

  /**
   * Takes a newer registration of the same life, which was made at `madeMs` at the
   * earliest; true when the endpoint began to leave. One that is ready after its
   * removal had lapsed and is back.
   */
  update(record: EndpointRecord, nowMs: number, madeMs = nowMs): boolean {
    this.record = record;
    this.isDisowned = false;
    this.removedAtMs = undefined;
    this.cancelDrop();
    this.warmUntilMs = nowMs + record.warmupLeftMs;
    if (record.state === EndpointState.DRAINING) {
      this.hasSaidLeave = true;
      return this.noteLeavingInStore(madeMs);
    }
    if (this.isLeaveInStore) this.takeBackLeave();
    return false;
  }

  /** The store shows that it leaves; true when this is the first word of it. */
  noteLeavingInStore(sinceMs: number): boolean {
    this.isLeaveInStore = true;
    return this.noteLeaving(sinceMs);
  }

  /** True when this is the first word of it. */
  noteLeaving(sinceMs: number, leavesAtMs?: number): boolean {
    if (leavesAtMs !== undefined) this.leavesAtMs = leavesAtMs;
    const isFirst = this.leavingSinceMs === undefined;
    this.leavingSinceMs = Math.min(this.leavingSinceMs ?? sinceMs, sinceMs);
    return isFirst;
  }

  private takeBackLeave(): void {
    this.isLeaveInStore = false;
    this.leavingSinceMs = undefined;
    this.leavesAtMs = undefined;
  }

  noteReport(report: EngineLoad, nowMs: number): void {
    this.report = {value: report, atMs: nowMs};
  }
}
