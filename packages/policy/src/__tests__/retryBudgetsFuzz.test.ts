import {createRandom, VirtualClock} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';
import {describe, expect, it} from 'vitest';
import type {RetryLoan, TakenRetry} from '../sharedRetryBudget.js';
import {RetryKind} from '../sharedRetryBudget.js';
import {BudgetFleet} from './budgetFleet.js';
import {RetryJudge} from './retryJudge.js';

const SLACK = 54;
const SERVICE = 'calls';

/** More series by hand: `FUZZ_SERIES=3000`. */
const SERIES = Number(process.env['FUZZ_SERIES'] ?? 150);
const STEPS = 160;
const MEAN_STEP_MS = 250;

/** Upper bounds on requests of one entry per step: few, or many in relation to the slack. */
const MAX_REQUESTS_PER_STEP = [4, 30] as const;

/** How much later a retry arrives than it was taken, at most. */
const MAX_ARRIVAL_MS = 250;

/** Probability per step that endpoints fall silent, and for how long at most. */
const SILENCE_PROBABILITY = 0.04;
const MAX_SILENCE_MS = 12_000;

/** Share of the retries that are sent to silent endpoints, which get them at the end together. */
const SILENT_SHARE = 0.5;

/** How much earlier a request was sent than it was counted, at most. */
const MAX_REQUEST_DELAY_MS = 500;

/** By which the probabilities of faults are multiplied, in turn. */
const FAULT_RATES = [1, 0.2, 0.05] as const;

/** Probability per step that all entries crash, and that one does. */
const ALL_CRASH_PROBABILITY = 0.03;
const CRASH_PROBABILITY = 0.3;

/** Probability per step that one entry is partitioned, and that all partitions heal. */
const PARTITION_PROBABILITY = 0.1;

/** Probability per step that a process is suspended, and that a suspended one goes on. */
const SUSPEND_PROBABILITY = 0.04;
const RESUME_PROBABILITY = 0.1;

/** Probability per step that an entry joins, and that one of many leaves. */
const SCALE_PROBABILITY = 0.02;

/** Probability per step that the load moves to other entries and changes its rate. */
const SHIFT_PROBABILITY = 0.06;

/** Probability per step that endpoints begin to reject requests, or end to. */
const REJECT_PROBABILITY = 0.1;

/** Retries that an entry wants in a step while endpoints reject requests. */
const MAX_WANTED = 60;

/** A series of random faults and load. */
class Series {
  readonly judge = new RetryJudge(SLACK);
  private readonly clock = new VirtualClock();
  private readonly random: Random;
  private readonly fleet: BudgetFleet;
  private readonly crashed = new Set<string>();
  private readonly suspended = new Set<string>();
  private loan: RetryLoan | undefined;
  private loanHolder: string | undefined;
  private busyEntries: 'all' | 'one' | 'some' = 'all';
  private busyIndex = 0;
  private isRejecting = true;
  private rate = 1;
  private silentUntilMs = 0;
  private joined = 0;

  private readonly faultRate: number;

  constructor(private readonly seed: number) {
    this.random = createRandom(seed);
    this.faultRate = FAULT_RATES[seed % FAULT_RATES.length]!;
    const names = ['a', 'b', 'c', 'd', 'e', 'f'].slice(0, 2 + (seed % 5));
    this.fleet = new BudgetFleet(this.clock, SLACK, names);
  }

  async run(): Promise<RetryJudge> {
    for (let step = 0; step < STEPS; step++) {
      await this.clock.advance(-Math.log(1 - this.random()) * MEAN_STEP_MS);
      this.crashAndRestart();
      this.partition();
      this.suspendAndResume();
      this.scale();
      this.shiftLoad();
      this.fleet.names.forEach((name, index) => {
        this.takeLoan(name);
        this.generateLoad(name, this.isBusy(index));
      });
    }
    return this.judge;
  }

  private crashAndRestart(): void {
    if (this.fails(ALL_CRASH_PROBABILITY)) {
      for (const name of this.fleet.names) this.end(name);
    }
    if (this.fleet.names.length > 0 && this.fails(CRASH_PROBABILITY)) {
      this.end(this.pick(this.fleet.names));
    }
    for (const gone of this.crashed) {
      if (this.draws(0.5)) continue;
      this.crashed.delete(gone);
      // Some are replaced by an entry of another name.
      this.fleet.start(this.draws(0.1) ? `${gone}'` : gone);
    }
  }

  /** Cuts one entry from all others, from the store, or one direction of a link. */
  private partition(): void {
    const {fleet} = this;
    if (this.fails(PARTITION_PROBABILITY)) fleet.healPartitions();
    const {names} = fleet;
    if (names.length === 0 || !this.fails(PARTITION_PROBABILITY)) return;
    const isolated = this.pick(names);
    const drawn = this.random();
    if (drawn < 0.3) {
      fleet.loseMessages(isolated, this.pick(names));
      return;
    }
    if (drawn < 0.6) fleet.cutStore(isolated);
    for (const other of names) {
      if (other !== isolated) fleet.cut(isolated, other);
    }
  }

  private suspendAndResume(): void {
    const {fleet, suspended} = this;
    for (const name of suspended) {
      if (!this.draws(RESUME_PROBABILITY)) continue;
      suspended.delete(name);
      fleet.resume(name);
    }
    if (fleet.names.length < 2 || !this.fails(SUSPEND_PROBABILITY)) return;
    const name = this.pick(fleet.names);
    suspended.add(name);
    fleet.suspend(name);
  }

  private scale(): void {
    const {fleet} = this;
    if (this.draws(SCALE_PROBABILITY)) fleet.start(`new-${this.joined++}`);
    if (fleet.names.length > 6 && this.draws(SCALE_PROBABILITY)) {
      fleet.end(this.pick(fleet.names));
    }
  }

  private shiftLoad(): void {
    if (this.draws(SILENCE_PROBABILITY)) {
      this.silentUntilMs = this.clock.nowMs() + this.random() * MAX_SILENCE_MS;
    }
    if (this.draws(REJECT_PROBABILITY)) this.isRejecting = !this.isRejecting;
    if (!this.draws(SHIFT_PROBABILITY)) return;
    const drawn = this.random();
    this.busyEntries = drawn < 0.3 ? 'all' : drawn < 0.8 ? 'one' : 'some';
    this.busyIndex = Math.floor(this.random() * 100);
    this.rate = this.random() ** 2 * 6;
  }

  private isBusy(index: number): boolean {
    switch (this.busyEntries) {
      case 'all':
        return true;
      case 'one':
        return index === this.busyIndex % this.fleet.names.length;
      case 'some':
        return (index + this.busyIndex) % 2 === 0;
    }
  }

  /** Uses a loan that an entry asked for some steps earlier. */
  private takeLoan(name: string): void {
    const {fleet} = this;
    if (name === this.loanHolder && this.loan !== undefined) {
      const {loan} = this;
      this.noteRetry(fleet.budgetsOf(name).of(SERVICE).tryTake(loan));
      this.loanHolder = undefined;
    }
    if (this.loanHolder === undefined && this.draws(0.3)) {
      this.loan = fleet.borrow(name, SERVICE);
      this.loanHolder = name;
    }
  }

  /** Adds random requests, and retries as far as the budget allows. */
  private generateLoad(name: string, isBusy: boolean): void {
    const {fleet, clock, judge, seed} = this;
    const most = MAX_REQUESTS_PER_STEP[seed % MAX_REQUESTS_PER_STEP.length]!;
    const rate = isBusy ? this.rate : 0;
    const requests = Math.floor(this.random() * most * rate);
    for (let count = 0; count < requests; count++) {
      fleet.budgetsOf(name).of(SERVICE).noteRequest();
      judge.noteRequest(clock.nowMs() - this.random() * MAX_REQUEST_DELAY_MS);
    }
    if (!this.isRejecting) return;
    const kind = this.draws(0.5) ? RetryKind.RETRY : RetryKind.CONTINUATION;
    const wanted = Math.floor(this.random() ** 3 * MAX_WANTED);
    for (let count = 0; count < wanted; count++) {
      const retry = fleet.openRetry(name, SERVICE, kind);
      if (retry === undefined) return;
      this.noteRetry(retry);
    }
  }

  /** A retry arrives some time later, even if its entry has ended then. */
  private noteRetry(retry: TakenRetry | undefined): void {
    if (retry === undefined) return;
    const {clock, judge} = this;
    const {silentUntilMs} = this;
    const isHeld = clock.nowMs() < silentUntilMs && this.draws(SILENT_SHARE);
    const sentMs = isHeld ? silentUntilMs : clock.nowMs();
    const arrivesMs = sentMs + this.random() * MAX_ARRIVAL_MS;
    judge.noteRetry(arrivesMs);
    clock.after(arrivesMs - clock.nowMs(), () => retry.settle(arrivesMs));
  }

  private end(name: string): void {
    this.fleet.end(name);
    this.suspended.delete(name);
    this.crashed.add(name);
    if (name === this.loanHolder) this.loanHolder = undefined;
  }

  /** Draws a fault. */
  private fails(probability: number): boolean {
    return this.draws(probability * this.faultRate);
  }

  private draws(probability: number): boolean {
    return this.random() < probability;
  }

  private pick(names: readonly string[]): string {
    return names[Math.floor(this.random() * names.length)]!;
  }
}

describe('the retry budgets of a fleet', () => {
  // Guards against entries that exceed the shared budget in any order of restarts, partitions,
  // suspensions, loans and shifts of the load.
  it(
    'stay within the allowance in every window',
    async () => {
      const errors: string[] = [];
      let retries = 0;
      for (let seed = 0; seed < SERIES; seed++) {
        const {worstExcess, retryCount} = await new Series(seed).run();
        if (worstExcess > 0) errors.push(`seed ${seed}: ${worstExcess} more`);
        retries += retryCount;
      }
      expect(errors).toEqual([]);
      expect(retries).toBeGreaterThan(SERIES * SLACK);
    },
    SERIES * 1_000,
  );
});
