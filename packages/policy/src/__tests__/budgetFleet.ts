import type {VirtualClock} from '@lilacledge/shared';
import {RetryBudgets} from '../retryBudgets.js';

/** Interval of keep-alives over a link. */
const KEEP_ALIVE_INTERVAL_MS = 500;

/** The process of an entry and the names of the entries that it is linked to. */
interface EntryProcess {
  readonly budgets: RetryBudgets;
  readonly linked: Set<string>;
}

/** Simulates entries that report their retry use over links that can be partitioned. */
export class BudgetFleet {
  /** False in an outage of the store. */
  isStoreReachable = true;
  /** Number of entries that each one sees, if not all that run. */
  visibleEntryCount: number | undefined;
  private readonly processes = new Map<string, EntryProcess>();
  private readonly partitions = new Set<string>();
  /** Entries whose messages are lost. */
  private readonly muted = new Set<string>();
  private startCount = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly retrySlack: number,
    names: readonly string[],
  ) {
    for (const name of names) this.add(name, true);
    for (const name of names) this.link(name);
    this.noteEntries();
    this.sendKeepAlives();
  }

  get names(): string[] {
    return [...this.processes.keys()];
  }

  budgetsOf(name: string): RetryBudgets {
    return this.processes.get(name)!.budgets;
  }

  takeRetry(name: string, service: string): boolean {
    return this.budgetsOf(name).of(service).tryTake();
  }

  /** Takes the send that continues a generation at another endpoint. */
  async continueRun(name: string, service: string): Promise<boolean> {
    return this.budgetsOf(name).of(service).tryContinue();
  }

  /** Loses all further messages of an entry, whose links others still take to be open. */
  loseMessagesOf(name: string): void {
    this.muted.add(name);
  }

  /** Starts an entry and links it to all that it can reach. */
  start(name: string): void {
    this.add(name, false);
    this.link(name);
    this.noteEntries();
  }

  /** Stops an entry without notice. */
  end(name: string): void {
    this.processes.delete(name);
    this.muted.delete(name);
    for (const other of this.processes.keys()) this.unlink(other, name);
  }

  /** Disconnects two entries until partitions are healed. */
  cut(a: string, b: string): void {
    this.partitions.add(linkKey(a, b));
    this.unlink(a, b);
    this.unlink(b, a);
  }

  /** Reconnects all partitioned entries. */
  healPartitions(): void {
    this.partitions.clear();
    for (const name of this.names) this.link(name);
  }

  private noteEntries(): void {
    for (const {budgets} of this.processes.values()) budgets.noteEntryCount();
  }

  private add(name: string, isFirst: boolean): void {
    const budgets = new RetryBudgets(
      {life: `${name} ${++this.startCount}`, isFirst},
      {retryRatio: 0.2, retryWindowMs: 10_000, retrySlack: this.retrySlack},
      {
        entries: () => this.visibleEntryCount ?? this.processes.size,
        isCurrent: () => this.isStoreReachable,
      },
      this.clock,
    );
    const process = {budgets, linked: new Set<string>()};
    this.processes.set(name, process);
    budgets.noteEntryCount();
    budgets.onRetryUse((report) => {
      if (this.muted.has(name)) return;
      for (const other of process.linked) {
        this.processes.get(other)?.budgets.notePeerReport(name, report);
      }
    });
  }

  private link(name: string): void {
    for (const other of this.names) {
      const isOpen = this.processes.get(name)!.linked.has(other);
      const isPartitioned = this.partitions.has(linkKey(name, other));
      if (other === name || isOpen || isPartitioned) continue;
      this.processes.get(name)!.linked.add(other);
      this.processes.get(other)!.linked.add(name);
      this.exchangeReports(name, other);
      this.exchangeReports(other, name);
    }
  }

  /** Sends the first report over a link and returns the prior use, if any. */
  private exchangeReports(from: string, to: string): void {
    const report = this.budgetsOf(from).ownReport;
    const priorUse = this.budgetsOf(to).notePeerReport(from, report);
    if (priorUse !== undefined) this.budgetsOf(from).notePriorUse(priorUse);
  }

  private unlink(name: string, other: string): void {
    this.processes.get(name)?.linked.delete(other);
    this.processes.get(name)?.budgets.notePeerLost(other);
  }

  private sendKeepAlives(): void {
    for (const [name, {linked}] of this.processes) {
      for (const other of linked) {
        this.processes.get(other)?.budgets.notePeerAlive(name);
      }
    }
    this.clock.after(KEEP_ALIVE_INTERVAL_MS, () => this.sendKeepAlives());
  }
}

function linkKey(a: string, b: string): string {
  return [a, b].sort().join(' ');
}
