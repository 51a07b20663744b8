import type {VirtualClock} from '@lilacledge/shared';
import {RetryBudgets} from '../retryBudgets.js';

/** How often a linked entry shows that it is there. */
const ALIVE_INTERVAL_MS = 500;

/** One life of an entry, with those that it has links to. */
interface Life {
  readonly budgets: RetryBudgets;
  readonly linked: Set<string>;
}

/** Entries that tell one another what they take, over links that can be cut. */
export class BudgetFleet {
  /** False while the store tells nothing of the entries. */
  isStoreThere = true;
  /** Entries that each one sees, where that differs from those that are there. */
  seenEntries: number | undefined;
  private readonly lives = new Map<string, Life>();
  private readonly cuts = new Set<string>();
  private started = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly retrySlack: number,
    names: readonly string[],
  ) {
    for (const name of names) this.add(name, true);
    for (const name of names) this.link(name);
    this.noteEntries();
    this.showLife();
  }

  get names(): string[] {
    return [...this.lives.keys()];
  }

  budgetsOf(name: string): RetryBudgets {
    return this.lives.get(name)!.budgets;
  }

  /** Starts a life of an entry, which links to all that it can reach. */
  start(name: string): void {
    this.add(name, false);
    this.link(name);
    this.noteEntries();
  }

  /** Ends an entry without a word. */
  end(name: string): void {
    this.lives.delete(name);
    for (const other of this.lives.keys()) this.unlink(other, name);
  }

  /** Neither hears the other from now on. */
  cut(a: string, b: string): void {
    this.cuts.add(pairOf(a, b));
    this.unlink(a, b);
    this.unlink(b, a);
  }

  /** Ends all cuts. */
  mend(): void {
    this.cuts.clear();
    for (const name of this.names) this.link(name);
  }

  private noteEntries(): void {
    for (const {budgets} of this.lives.values()) budgets.noteEntries();
  }

  private add(name: string, isFirst: boolean): void {
    const budgets = new RetryBudgets(
      {life: `${name} ${++this.started}`, isFirst},
      {retryRatio: 0.2, retryWindowMs: 10_000, retrySlack: this.retrySlack},
      {
        entries: () => this.seenEntries ?? this.lives.size,
        isCurrent: () => this.isStoreThere,
      },
      this.clock,
    );
    const life = {budgets, linked: new Set<string>()};
    this.lives.set(name, life);
    budgets.noteEntries();
    budgets.onNews((told) => {
      for (const other of life.linked) {
        this.lives.get(other)?.budgets.noteTold(name, told);
      }
    });
  }

  private link(name: string): void {
    for (const other of this.names) {
      const isOpen = this.lives.get(name)!.linked.has(other);
      const isCut = this.cuts.has(pairOf(name, other));
      if (other === name || isOpen || isCut) continue;
      this.lives.get(name)!.linked.add(other);
      this.lives.get(other)!.linked.add(name);
      this.greet(name, other);
      this.greet(other, name);
    }
  }

  /** The first words over a link, and the answer to them. */
  private greet(from: string, to: string): void {
    const told = this.budgetsOf(from).ownUse;
    const former = this.budgetsOf(to).noteTold(from, told);
    if (former !== undefined) this.budgetsOf(from).noteFormer(former);
  }

  private unlink(name: string, other: string): void {
    this.lives.get(name)?.linked.delete(other);
    this.lives.get(name)?.budgets.noteUnheard(other);
  }

  private showLife(): void {
    for (const [name, {linked}] of this.lives) {
      for (const other of linked) {
        this.lives.get(other)?.budgets.noteHeard(name);
      }
    }
    this.clock.after(ALIVE_INTERVAL_MS, () => this.showLife());
  }
}

function pairOf(a: string, b: string): string {
  return [a, b].sort().join(' ');
}
