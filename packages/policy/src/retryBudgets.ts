import type {Clock} from '@lilacledge/shared';
import {SharedRetryBudget} from './sharedRetryBudget.js';
import type {BudgetSharing, RetryAllowance} from './sharedRetryBudget.js';
import {PeakEntryCount} from './sharerCount.js';
import type {FleetView} from './sharerCount.js';
import {FLEET_VIEW_LAG_MS, SlackTenure} from './slackTenure.js';

/** The retry budgets of one entry for all services, and its place among the entries. */
export class RetryBudgets {
  private readonly budgets = new Map<string, SharedRetryBudget>();
  private readonly peakEntries: PeakEntryCount;
  /** Numbers of entries that linked entries see, by their names. */
  private readonly peerEntryCounts = new Map<string, number>();
  private readonly tenure: SlackTenure;

  constructor(
    /** True if the deployment is new, so that the entry has no prior incarnation. */
    isFirst: boolean,
    private readonly allowance: RetryAllowance,
    private readonly fleet: FleetView,
    private readonly clock: Pick<Clock, 'nowMs'>,
  ) {
    const windowMs = (): number => allowance.retryWindowMs;
    this.tenure = new SlackTenure(isFirst, windowMs, clock);
    const countedMs = (): number => windowMs() + FLEET_VIEW_LAG_MS;
    const view = {
      entries: () =>
        Math.max(fleet.entries(), ...this.peerEntryCounts.values()),
      isCurrent: () => fleet.isCurrent(),
    };
    this.peakEntries = new PeakEntryCount(view, countedMs, clock);
  }

  of(service: string): SharedRetryBudget {
    const known = this.budgets.get(service);
    if (known !== undefined) return known;
    const added = new SharedRetryBudget(
      this.allowance,
      this.sharing(),
      this.clock,
    );
    this.budgets.set(service, added);
    return added;
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

  /** Whether this entry may use its share of the slack, and not only what its requests earn. */
  get hasSlack(): boolean {
    this.noteStoreContact();
    return this.tenure.isHeld;
  }

  /** To be called when entries join or leave. */
  noteEntryCount(): void {
    this.peakEntries.refresh();
    this.noteStoreContact();
  }

  /** To be called for each message from another entry. */
  notePeerAlive(): void {
    this.tenure.noteContact();
  }

  /** A linked entry sees this many entries, among which may be some that this one misses. */
  notePeerEntryCount(instance: string, entryCount: number): void {
    this.peerEntryCounts.set(instance, entryCount);
    this.peakEntries.refresh();
  }

  /** The link to an entry is lost. */
  notePeerLost(instance: string): void {
    this.peakEntries.refresh();
    this.peerEntryCounts.delete(instance);
  }

  private noteStoreContact(): void {
    if (this.fleet.isCurrent()) this.tenure.noteContact();
  }

  private sharing(): BudgetSharing {
    const hasSlack = (): boolean => this.hasSlack;
    const entryCount = (): number => this.entryCount;
    return {
      get hasSlack() {
        return hasSlack();
      },
      get entryCount() {
        return entryCount();
      },
      noteEntryCount: () => this.noteEntryCount(),
    };
  }
}
