import type {Clock} from '@lilacledge/shared';
import {retryRetentionMs, SharedRetryBudget} from './sharedRetryBudget.js';
import type {BudgetSharing, RetryAllowance} from './sharedRetryBudget.js';
import {PeakEntryCount} from './sharerCount.js';
import type {Sharers} from './sharerCount.js';
import type {RepeatPart} from './repeatUse.js';

/**
 * If others last heard from an entry longer than this before its restart, it may have taken
 * retries that it could not report.
 */
const MAX_UNHEARD_MS = 3_000;

/** Requests and retries of an entry for one service. */
export interface RetryUse {
  readonly service: string;
  readonly parts: readonly RepeatPart[];
}

/** Requests and retries of an entry as it reports them to others. */
export interface ToldUse {
  /** ID of the incarnation of its process. */
  readonly life: string;
  /** False if prior incarnations may have taken more retries. */
  readonly isComplete: boolean;
  readonly uses: readonly RetryUse[];
}

/** Reported use of prior incarnations of an entry, returned to it by another entry. */
export interface FormerUse {
  /** Time since the prior incarnation was last heard from. */
  readonly heardAgoMs: number;
  /** The highest number of entries that the reporter saw in the window. */
  readonly entryCount: number;
  /** False if more retries may have been taken. */
  readonly isComplete: boolean;
  readonly uses: readonly RetryUse[];
}

/** The incarnation of this process. */
export interface OwnLife {
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

type ReportListener = (report: ToldUse) => void;

/**
 * The retry budgets of one entry for all services, and the use that entries report to one
 * anpeer. Each entry reports its requests and retries to the linked entries before it sends a
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
    private readonly own: OwnLife,
    private readonly allowance: RetryAllowance,
    sharers: Sharers,
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
  onNews(listener: ReportListener): void {
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
  noteEntries(): void {
    this.peakEntries.refresh();
  }

  /** All requests and retries of this entry, over all its incarnations. */
  get ownUse(): ToldUse {
    return this.toReport(this.countsByService((budget) => budget.ownBuckets));
  }

  /**
   * Applies a report of another entry; the first one over a link is complete. Returns the use
   * of its prior incarnation, if that reported here.
   */
  noteTold(instance: string, report: ToldUse): FormerUse | undefined {
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
  noteHeard(instance: string): void {
    const peer = this.peers.get(instance);
    if (peer?.isReporting) peer.heardAtMs = this.nowMs;
  }

  /** Another entry can no longer report. */
  noteUnheard(instance: string): void {
    const peer = this.peers.get(instance);
    if (peer !== undefined) peer.isReporting = false;
  }

  /** Applies the use of prior incarnations of this entry that another entry returned. */
  noteFormer({heardAgoMs, entryCount, isComplete, uses}: FormerUse): void {
    this.peakEntries.note(entryCount);
    const news = uses.filter(({service, parts}) =>
      this.of(service).mergePriorUse(parts),
    );
    const unheardMs = heardAgoMs - this.ageMs;
    const isTrustworthy = isComplete && unheardMs <= MAX_UNHEARD_MS;
    const wasKnown = this.isFormerUseKnown;
    this.hasPriorUse ||= isTrustworthy;
    // Entries that are already linked got an incomplete report.
    if (news.length > 0 || wasKnown !== this.isFormerUseKnown) this.emit(news);
  }

  private get nowMs(): number {
    return this.clock.nowMs();
  }

  private get ageMs(): number {
    return this.nowMs - this.startedAtMs;
  }

  private priorUseOf(instance: string, known: PeerState): FormerUse {
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
      isPriorUseKnown: () => this.isFormerUseKnown,
      refreshEntryCount: () => this.noteEntries(),
      entryCount: () => this.entryCount,
      reportingEntries: () => this.reportingEntries,
    };
  }

  /** After a window, retries of prior incarnations no longer count. */
  get isFormerUseKnown(): boolean {
    return this.hasPriorUse || this.ageMs > retryRetentionMs(this.allowance);
  }

  private get reportingEntries(): string[] {
    return [...this.peers]
      .filter(([, {isReporting}]) => isReporting)
      .map(([instance]) => instance);
  }

  private countsByService(
    partsOf: (budget: SharedRetryBudget) => RepeatPart[],
  ): RetryUse[] {
    return [...this.budgets]
      .map(([service, budget]) => ({service, parts: partsOf(budget)}))
      .filter(({parts}) => parts.length > 0);
  }

  private emit(uses: readonly RetryUse[]): void {
    for (const listener of this.listeners) listener(this.toReport(uses));
  }

  private toReport(uses: readonly RetryUse[]): ToldUse {
    const {life} = this.own;
    return {life, isComplete: this.isFormerUseKnown, uses};
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
