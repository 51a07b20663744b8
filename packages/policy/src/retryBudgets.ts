import type {Clock} from '@lilacledge/shared';
import {retryRetentionMs, SharedRetryBudget} from './sharedRetryBudget.js';
import type {BudgetSharing, RetryAllowance} from './sharedRetryBudget.js';
import {PeakEntryCount} from './sharerCount.js';
import type {FleetView} from './sharerCount.js';
import type {RetryCountBucket} from './retryCounts.js';

/**
 * If others last heard from an entry longer than this before its restart, it may have taken
 * retries that it could not report.
 */
const MAX_UNHEARD_MS = 3_000;

/** Requests and retries of an entry for one service. */
export interface ServiceRetryUse {
  readonly service: string;
  readonly parts: readonly RetryCountBucket[];
}

/** Requests and retries of an entry as it reports them to others. */
export interface RetryUseReport {
  /** ID of the incarnation of its process. */
  readonly life: string;
  /** False if prior incarnations may have taken more retries. */
  readonly isComplete: boolean;
  readonly uses: readonly ServiceRetryUse[];
}

/** Reported use of prior incarnations of an entry, returned to it by another entry. */
export interface PriorUseReport {
  /** Time since the prior incarnation was last heard from. */
  readonly heardAgoMs: number;
  /** The highest number of entries that the reporter saw in the window. */
  readonly entryCount: number;
  /** False if more retries may have been taken. */
  readonly isComplete: boolean;
  readonly uses: readonly ServiceRetryUse[];
}

/** The incarnation of this process. */
export interface OwnIncarnation {
  readonly life: string;
  /** True if the deployment is new, so that there is no prior incarnation. */
  readonly isFirst: boolean;
}

/** The latest incarnation of another entry, as it reported itself. */
interface PeerState {
  readonly life: string;
  isComplete: boolean;
  heardAtMs: number;
  isReporting: boolean;
}

type ReportListener = (report: RetryUseReport) => void;

/**
 * The retry budgets of one entry for all services, and the use that entries report to one
 * another. Each entry reports its requests and retries to the linked entries before it sends a
 * retry; after a restart they return to it what its prior incarnation reported.
 */
export class RetryBudgets {
  private readonly budgets = new Map<string, SharedRetryBudget>();
  private readonly peers = new Map<string, PeerState>();
  private readonly listeners: ReportListener[] = [];
  private readonly peakEntries: PeakEntryCount;
  private readonly startedAtMs: number;
  private hasPriorUse: boolean;

  constructor(
    private readonly own: OwnIncarnation,
    private readonly allowance: RetryAllowance,
    sharers: FleetView,
    private readonly clock: Pick<Clock, 'nowMs'>,
  ) {
    const windowMs = (): number => allowance.retryWindowMs;
    this.peakEntries = new PeakEntryCount(sharers, windowMs, clock);
    this.startedAtMs = clock.nowMs();
    this.hasPriorUse = own.isFirst;
  }

  of(service: string): SharedRetryBudget {
    const known = this.budgets.get(service);
    if (known !== undefined) return known;
    const added = new SharedRetryBudget(
      this.allowance,
      this.budgetSharing(),
      this.clock,
      (parts) => this.emit([{service, parts}]),
    );
    this.budgets.set(service, added);
    return added;
  }

  /** Calls `listener` with the report for other entries, before each retry is sent. */
  onRetryUse(listener: ReportListener): void {
    this.listeners.push(listener);
  }

  /** Retries in the window, over all services. */
  get used(): number {
    let used = 0;
    for (const budget of this.budgets.values()) used += budget.used;
    return used;
  }

  /** The highest number of entries seen in the window. */
  get entryCount(): number {
    return this.peakEntries.peak;
  }

  /** To be called when entries join or leave. */
  noteEntryCount(): void {
    this.peakEntries.refresh();
  }

  /** All requests and retries of this entry, over all its incarnations. */
  get ownReport(): RetryUseReport {
    return this.toReport(this.countsByService((budget) => budget.ownBuckets));
  }

  /**
   * Applies a report of another entry; the first one over a link is complete. Returns the use
   * of its prior incarnation, if that reported here.
   */
  notePeerReport(
    instance: string,
    report: RetryUseReport,
  ): PriorUseReport | undefined {
    this.evictStalePeers();
    const known = this.peers.get(instance);
    const isRestarted = known !== undefined && known.life !== report.life;
    const priorUse = isRestarted ? this.priorUseOf(instance, known) : undefined;
    const {life, isComplete} = report;
    const heardAtMs = this.nowMs;
    this.peers.set(instance, {life, isComplete, heardAtMs, isReporting: true});
    for (const {service, parts} of report.uses) {
      this.of(service).mergePeerUse(instance, parts);
    }
    return priorUse;
  }

  /** Another entry is alive; ignored before its first report, as the incarnation is unknown. */
  notePeerAlive(instance: string): void {
    const peer = this.peers.get(instance);
    if (peer?.isReporting) peer.heardAtMs = this.nowMs;
  }

  /** Another entry can no longer report. */
  notePeerLost(instance: string): void {
    const peer = this.peers.get(instance);
    if (peer !== undefined) peer.isReporting = false;
  }

  /** Applies the use of prior incarnations of this entry that another entry returned. */
  notePriorUse({
    heardAgoMs,
    entryCount,
    isComplete,
    uses,
  }: PriorUseReport): void {
    this.peakEntries.note(entryCount);
    const news = uses.filter(({service, parts}) =>
      this.of(service).mergePriorUse(parts),
    );
    const unheardMs = heardAgoMs - this.ageMs;
    const isTrustworthy = isComplete && unheardMs <= MAX_UNHEARD_MS;
    const wasKnown = this.isPriorUseKnown;
    this.hasPriorUse ||= isTrustworthy;
    // Entries that are already linked got an incomplete report.
    if (news.length > 0 || wasKnown !== this.isPriorUseKnown) this.emit(news);
  }

  private get nowMs(): number {
    return this.clock.nowMs();
  }

  private get ageMs(): number {
    return this.nowMs - this.startedAtMs;
  }

  private priorUseOf(instance: string, known: PeerState): PriorUseReport {
    return {
      heardAgoMs: this.nowMs - known.heardAtMs,
      entryCount: this.entryCount,
      isComplete: known.isComplete,
      uses: this.countsByService((budget) => budget.bucketsOf(instance)),
    };
  }

  private budgetSharing(): BudgetSharing {
    return {
      life: this.own.life,
      isPriorUseKnown: () => this.isPriorUseKnown,
      noteEntryCount: () => this.noteEntryCount(),
      entryCount: () => this.entryCount,
      reportingEntries: () => this.reportingEntries,
    };
  }

  /** After a window, retries of prior incarnations no longer count. */
  get isPriorUseKnown(): boolean {
    return this.hasPriorUse || this.ageMs > retryRetentionMs(this.allowance);
  }

  private get reportingEntries(): string[] {
    return [...this.peers]
      .filter(([, {isReporting}]) => isReporting)
      .map(([instance]) => instance);
  }

  private countsByService(
    partsOf: (budget: SharedRetryBudget) => RetryCountBucket[],
  ): ServiceRetryUse[] {
    return [...this.budgets]
      .map(([service, budget]) => ({service, parts: partsOf(budget)}))
      .filter(({parts}) => parts.length > 0);
  }

  private emit(uses: readonly ServiceRetryUse[]): void {
    for (const listener of this.listeners) listener(this.toReport(uses));
  }

  private toReport(uses: readonly ServiceRetryUse[]): RetryUseReport {
    const {life} = this.own;
    return {life, isComplete: this.isPriorUseKnown, uses};
  }

  /** Drops entries that were not heard from for as long as their retries count. */
  private evictStalePeers(): void {
    const oldestMs = this.nowMs - retryRetentionMs(this.allowance);
    for (const [instance, {heardAtMs, isReporting}] of this.peers) {
      if (isReporting || heardAtMs >= oldestMs) continue;
      this.peers.delete(instance);
      for (const budget of this.budgets.values()) budget.forgetPeer(instance);
    }
  }
}
