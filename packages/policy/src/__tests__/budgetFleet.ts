import type {VirtualClock} from '@lilacledge/shared';
import {RetryBudgets} from '../retryBudgets.js';
import {RETRY_LOAN_MS, RetryKind, RetryLoan} from '../sharedRetryBudget.js';
import type {TakenRetry} from '../sharedRetryBudget.js';
import {RATIO, WINDOW_MS} from './retryJudge.js';

/** Interval of heartbeats over a link, and of renewals of registrations. */
const HEARTBEAT_MS = 500;

/** Time without a message after which a link is closed. */
const LINK_SILENCE_MS = 2_500;

/** Time without a renewal after which a registration expires. */
const LEASE_MS = 3_000;

/** The process of an entry, and when it last heard the entries that it is linked to. */
interface EntryProcess {
  readonly budgets: RetryBudgets;
  readonly heardAtMs: Map<string, number>;
}

/**
 * Simulates entries that share a retry budget: links that can lose the messages of one
 * direction, a store that lists entries and that some cannot reach, and suspended processes.
 */
export class BudgetFleet {
  /** False in an outage of the store. */
  isStoreReachable = true;
  /** Number of entries that each one sees, if not all that are registered. */
  visibleEntryCount: number | undefined;
  private readonly processes = new Map<string, EntryProcess>();
  /** When registrations were last renewed, by name. */
  private readonly renewedAtMs = new Map<string, number>();
  /** Directions in which messages are lost, as `from to`. */
  private readonly lossy = new Set<string>();
  /** Entries whose messages are all lost, though links to them stay open. */
  private readonly muted = new Set<string>();
  /** Entries that cannot reach the store. */
  private readonly cutFromStore = new Set<string>();
  private readonly suspended = new Set<string>();

  constructor(
    private readonly clock: VirtualClock,
    private readonly retrySlack: number,
    names: readonly string[],
  ) {
    for (const name of names) this.add(name, true);
    for (const name of names) this.link(name);
    this.noteEntries();
    this.beat();
  }

  /** Entries that run, without the suspended ones. */
  get names(): string[] {
    return [...this.processes.keys()].filter(
      (name) => !this.suspended.has(name),
    );
  }

  budgetsOf(name: string): RetryBudgets {
    return this.processes.get(name)!.budgets;
  }

  /** Takes a retry that arrives at once, of a loan where the entry may ask for one. */
  takeRetry(name: string, service: string, kind?: RetryKind): boolean {
    const retry = this.openRetry(name, service, kind);
    retry?.settle(this.clock.nowMs());
    return retry !== undefined;
  }

  /** Takes a retry whose arrival lies ahead. */
  openRetry(
    name: string,
    service: string,
    kind?: RetryKind,
  ): TakenRetry | undefined {
    const budget = this.budgetsOf(name).of(service);
    const mayBorrow = budget.mayBorrow(kind ?? RetryKind.RETRY);
    const loan = mayBorrow ? this.borrow(name, service) : undefined;
    return budget.tryTake(loan);
  }

  /** Takes the send that continues a generation at another endpoint. */
  async continueRun(name: string, service: string): Promise<boolean> {
    return this.takeRetry(name, service, RetryKind.CONTINUATION);
  }

  /** Asks the linked entries for a loan; a lost answer loses what was lent. */
  borrow(name: string, service: string): RetryLoan | undefined {
    const expiresAtMs = this.clock.nowMs() + RETRY_LOAN_MS;
    for (const lender of this.processes.get(name)!.heardAtMs.keys()) {
      if (!this.delivers(name, lender) || this.suspended.has(lender)) continue;
      const lent = this.budgetsOf(lender).of(service).tryLend();
      if (lent === undefined || !this.delivers(lender, name)) continue;
      const loan = new RetryLoan(expiresAtMs, {
        settle: (arrivedByMs) => {
          if (this.delivers(name, lender)) lent.settle(arrivedByMs);
        },
      });
      this.clock.after(RETRY_LOAN_MS, () => loan.release(this.clock.nowMs()));
      return loan;
    }
    return undefined;
  }

  /** Loses all further messages of an entry. */
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
    this.suspended.delete(name);
    this.cutFromStore.delete(name);
    for (const other of this.processes.keys()) this.unlink(other, name);
  }

  /** Disconnects two entries until partitions are healed. */
  cut(a: string, b: string): void {
    this.loseMessages(a, b);
    this.loseMessages(b, a);
    this.unlink(a, b);
    this.unlink(b, a);
  }

  /** Loses the messages of one direction. */
  loseMessages(from: string, to: string): void {
    this.lossy.add(direction(from, to));
  }

  cutStore(name: string): void {
    this.cutFromStore.add(name);
  }

  suspend(name: string): void {
    this.suspended.add(name);
  }

  resume(name: string): void {
    this.suspended.delete(name);
  }

  /** Reconnects all entries to each other and to the store. */
  healPartitions(): void {
    this.lossy.clear();
    this.cutFromStore.clear();
    for (const name of this.processes.keys()) this.link(name);
  }

  private noteEntries(): void {
    for (const name of this.names) this.budgetsOf(name).noteEntryCount();
  }

  private add(name: string, isFirst: boolean): void {
    const heardAtMs = new Map<string, number>();
    const budgets = new RetryBudgets(
      isFirst,
      {
        retryRatio: RATIO,
        retryWindowMs: WINDOW_MS,
        retrySlack: this.retrySlack,
      },
      {
        entries: () => this.entryCountOf(name),
        isCurrent: () => this.reachesStore(name),
      },
      this.clock,
    );
    this.processes.set(name, {budgets, heardAtMs});
    if (this.reachesStore(name)) {
      this.renewedAtMs.set(name, this.clock.nowMs());
    }
    budgets.noteEntryCount();
  }

  private reachesStore(name: string): boolean {
    return this.isStoreReachable && !this.cutFromStore.has(name);
  }

  private entryCountOf(name: string): number {
    return this.visibleEntryCount ?? this.entriesSeenBy(name);
  }

  /** Entries that are registered or linked, and the entry itself. */
  private entriesSeenBy(name: string): number {
    const seen = new Set([name]);
    for (const other of this.processes.get(name)?.heardAtMs.keys() ?? []) {
      seen.add(other);
    }
    if (this.reachesStore(name)) {
      const aliveFromMs = this.clock.nowMs() - LEASE_MS;
      for (const [other, atMs] of this.renewedAtMs) {
        if (atMs >= aliveFromMs) seen.add(other);
      }
    }
    return seen.size;
  }

  private link(name: string): void {
    const nowMs = this.clock.nowMs();
    for (const other of this.processes.keys()) {
      const reaches = this.delivers(name, other) && this.delivers(other, name);
      if (other === name || !reaches) continue;
      this.processes.get(name)!.heardAtMs.set(other, nowMs);
      this.processes.get(other)!.heardAtMs.set(name, nowMs);
      this.deliver(name, other);
      this.deliver(other, name);
    }
  }

  private delivers(from: string, to: string): boolean {
    return !this.muted.has(from) && !this.lossy.has(direction(from, to));
  }

  /** A heartbeat arrives, and with it the number of entries that its sender sees. */
  private deliver(from: string, to: string): void {
    const {budgets, heardAtMs} = this.processes.get(to)!;
    heardAtMs.set(from, this.clock.nowMs());
    budgets.notePeerAlive();
    budgets.notePeerEntryCount(from, this.entryCountOf(from));
  }

  private unlink(name: string, other: string): void {
    this.processes.get(name)?.heardAtMs.delete(other);
    this.processes.get(name)?.budgets.notePeerLost(other);
  }

  private beat(): void {
    const nowMs = this.clock.nowMs();
    for (const name of this.names) {
      if (this.reachesStore(name)) this.renewedAtMs.set(name, nowMs);
    }
    for (const name of this.names) {
      const {budgets, heardAtMs} = this.processes.get(name)!;
      for (const [other, atMs] of [...heardAtMs]) {
        const isAlive = !this.suspended.has(other);
        if (isAlive && this.delivers(other, name)) this.deliver(other, name);
        else if (nowMs - atMs > LINK_SILENCE_MS) this.unlink(name, other);
      }
      budgets.noteEntryCount();
    }
    this.clock.after(HEARTBEAT_MS, () => this.beat());
  }
}

function direction(from: string, to: string): string {
  return `${from} ${to}`;
}
