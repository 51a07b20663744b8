import {
  EngineSpeed,
  lastResortUntilMs,
  PassiveHealth,
} from '@lilacledge/policy';
import type {Doubt, LeaveNotice, ReportedSpeed} from '@lilacledge/policy';
import type {CancelTimer} from '@lilacledge/shared';
import {EndpointState} from '../model/index.js';
import type {EndpointRecord, EngineLoad} from '../model/index.js';
import type {EndpointLoad} from '../ports.js';
import {ALL_ON} from '../switches.js';
import type {Switches} from '../switches.js';
import {AnnouncedState} from './announcedState.js';
import {NO_EVACUATIONS} from './zoneEvacuations.js';
import type {ZoneAvailability} from './zoneEvacuations.js';

/** A value and the time at which it was received. */
export interface Timestamped<T> {
  readonly value: T;
  readonly atMs: number;
}

/** Source from which this process learned that an endpoint is leaving. */
export const LeaveSource = {
  STORE: 'store',
  REPORT: 'report',
  /** The endpoint's own answer. */
  ANSWER: 'answer',
  /** Another incarnation answered at its address. */
  REPLACED: 'replaced',
  REMOVED: 'removed',
} as const;
export type LeaveSource = (typeof LeaveSource)[keyof typeof LeaveSource];

/** State that this process keeps of one incarnation of an endpoint. */
export class Endpoint {
  readonly health: PassiveHealth;
  /** Open requests of this process to the endpoint. */
  outstanding = 0;
  /** Store revision of its registration. */
  revision = 0;
  /** Memory of runs that this process is about to place at the endpoint. */
  incomingTokens = 0;
  load: Timestamped<EndpointLoad> | undefined;
  report: Timestamped<EngineLoad> | undefined;
  /** Expected time of its shutdown, if announced. */
  leavesAtMs: number | undefined;
  /** When its registration was removed from the store. */
  removedAtMs: number | undefined;
  /** True once another incarnation has taken over its id or address. */
  hasEnded = false;
  /**
   * True while its key in the store holds a value that cannot be used as its registration,
   * such as one written by another program. Open requests continue; new ones go elsewhere.
   */
  hasInvalidRegistration = false;
  /** Cancels the timer that forgets the endpoint after its removal. */
  cancelExpiry: CancelTimer = () => {};
  /** True once it registered as draining, which an incarnation never reverts. */
  hasReportedLeave = false;
  /** True if the store shows that it is leaving. */
  private isLeavingInStore = false;
  /** Leave notices from the store and from other processes. */
  private leaveNotices: readonly LeaveNotice[] = [];
  /** When it stops being cold, according to its registration. */
  private warmUntilMs: number;
  /** When its registration last reappeared after it had expired. */
  returnedAtMs: number | undefined;

  constructor(
    public record: EndpointRecord,
    nowMs: number,
    onDoubt: (endpoint: Endpoint, doubt: Doubt) => void = () => {},
    private readonly switches: Switches = ALL_ON,
    private readonly zones: ZoneAvailability = NO_EVACUATIONS,
    /** State that it announces in its answers. */
    readonly announced = new AnnouncedState(),
    /** Its speed, relative to the other endpoints of its service. */
    readonly speed = new EngineSpeed(),
  ) {
    const {doubts} = switches;
    this.health = new PassiveHealth((doubt) => onDoubt(this, doubt), doubts);
    this.warmUntilMs = nowMs + record.warmupLeftMs;
  }

  get id(): string {
    return this.record.id;
  }

  get isLeaving(): boolean {
    return this.allLeaveNotices.length > 0;
  }

  /** The first leave notice of each kind. The endpoint's own announcement is never reverted. */
  private get allLeaveNotices(): readonly LeaveNotice[] {
    const {leavingSinceMs: atMs} = this.announced;
    if (atMs === undefined) return this.leaveNotices;
    return [...this.leaveNotices, {kind: 'told', atMs}];
  }

  /** True if the endpoint is eligible for new work: it stays and its zone is not evacuated. */
  get isCandidate(): boolean {
    const {isLeaving, hasInvalidRegistration, hasEnded, record, zones} = this;
    if (isLeaving || hasInvalidRegistration || hasEnded) return false;
    return !zones.isEvacuated(record.zone);
  }

  /**
   * True if work may still be sent to the endpoint. While it is leaving or its zone is
   * evacuated, it remains a last resort for part of the permitted time.
   */
  mayGetWork(nowMs: number, drainMs: number): boolean {
    if (this.hasInvalidRegistration || this.hasEnded) return false;
    if (!this.zones.mayGetWork(this.record.zone, nowMs)) return false;
    return this.allLeaveNotices.every(
      (notice) => nowMs < lastResortUntilMs(notice, drainMs),
    );
  }

  /**
   * Time until which the endpoint is treated as cold for a warm-up of `durationMs`. It
   * may have become cold unnoticed while its registration was missing or its zone
   * evacuated, before it registers a new warm-up itself.
   */
  coldUntilMs(durationMs: number): number {
    const evacuationEndedAtMs = this.zones.evacuationEndedAtMs(
      this.record.zone,
    );
    const sinceMs = Math.max(
      this.returnedAtMs ?? -Infinity,
      evacuationEndedAtMs ?? -Infinity,
    );
    return Math.max(this.warmUntilMs, sinceMs + durationMs);
  }

  /** True while the endpoint is still slow after its start. */
  isWarming(nowMs: number): boolean {
    return this.switches.warmUp && nowMs < this.warmUntilMs;
  }

  /**
   * Applies a newer registration of the same incarnation; the store did not hold it yet at
   * `unchangedAtMs`. Returns true if the endpoint began to leave. A ready registration
   * after a removal means that the former one had expired.
   */
  update(
    record: EndpointRecord,
    nowMs: number,
    unchangedAtMs = nowMs,
  ): boolean {
    this.record = record;
    this.hasInvalidRegistration = false;
    this.removedAtMs = undefined;
    this.cancelExpiry();
    this.warmUntilMs = nowMs + record.warmupLeftMs;
    if (record.state === EndpointState.DRAINING) {
      this.hasReportedLeave = true;
      return this.noteLeavingInStore(unchangedAtMs);
    }
    if (this.isLeavingInStore) this.clearLeave();
    return false;
  }

  /**
   * Records that the store shows it leaving, which it did not at `unchangedAtMs`.
   * Returns true for the first leave notice of any kind.
   */
  noteLeavingInStore(unchangedAtMs: number): boolean {
    this.isLeavingInStore = true;
    return this.addLeaveNotice({kind: 'stored', clearMs: unchangedAtMs});
  }

  /** Records a leave notice from another process; returns true for the first notice. */
  noteLeaveReceived(atMs: number, leavesAtMs?: number): boolean {
    if (leavesAtMs !== undefined) this.leavesAtMs = leavesAtMs;
    return this.addLeaveNotice({kind: 'told', atMs});
  }

  /** Records that its own answer announced the leave; returns true for the first notice. */
  noteLeaveAnnounced(nowMs: number): boolean {
    const isFirst = !this.isLeaving;
    this.announced.noteLeaving(nowMs);
    return isFirst;
  }

  private addLeaveNotice(notice: LeaveNotice): boolean {
    const isFirst = !this.isLeaving;
    const isKnown = this.leaveNotices.some(({kind}) => kind === notice.kind);
    if (!isKnown) this.leaveNotices = [...this.leaveNotices, notice];
    return isFirst;
  }

  private clearLeave(): void {
    this.isLeavingInStore = false;
    this.leaveNotices = [];
    this.leavesAtMs = undefined;
  }

  noteReport(report: EngineLoad & ReportedSpeed, nowMs: number): void {
    this.report = {value: report, atMs: nowMs};
    if (this.switches.engineSpeeds) this.speed.noteReported(report, nowMs);
  }

  /** Records the load that it reported in an answer. */
  noteLoad(load: EndpointLoad, nowMs: number): void {
    this.load = {value: load, atMs: nowMs};
    if (!this.switches.engineSpeeds) return;
    this.speed.noteTold(load.pacePercent, nowMs);
  }
}
