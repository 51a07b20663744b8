import {createRandom, VirtualClock} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';
import {describe, expect, it} from 'vitest';
import {BudgetFleet} from './budgetFleet.js';
import {RetryJudge} from './retryJudge.js';

const SLACK = 54;
const SERVICE = 'calls';

const SERIES = 150;
const STEPS = 120;
const MEAN_STEP_MS = 250;

/** Upper bounds on requests of one entry per step: few, or many in relation to the slack. */
const MAX_REQUESTS_PER_STEP = [4, 30] as const;

/** Probability per step that all entries crash. */
const ALL_CRASH_PROBABILITY = 0.03;

/** Probability per step that one entry is partitioned, and that all partitions heal. */
const PARTITION_PROBABILITY = 0.1;

/** Crashes, restarts, replaces and partitions entries while all take retries. */
async function runSeries(seed: number): Promise<RetryJudge> {
  const random = createRandom(seed);
  const clock = new VirtualClock();
  const names = ['a', 'b', 'c', 'd', 'e', 'f'].slice(0, 2 + (seed % 5));
  const fleet = new BudgetFleet(clock, SLACK, names);
  const crashed = new Set<string>();
  const judge = new RetryJudge(SLACK);
  const maxRequests =
    MAX_REQUESTS_PER_STEP[seed % MAX_REQUESTS_PER_STEP.length]!;
  for (let step = 0; step < STEPS; step++) {
    await clock.advance(-Math.log(1 - random()) * MEAN_STEP_MS);
    changeFleet(fleet, crashed, random);
    for (const name of fleet.names) {
      generateLoad(fleet, name, random, judge, clock, maxRequests);
    }
  }
  return judge;
}

function changeFleet(
  fleet: BudgetFleet,
  crashed: Set<string>,
  random: Random,
): void {
  if (random() < ALL_CRASH_PROBABILITY) {
    for (const name of fleet.names) end(fleet, crashed, name);
  }
  if (random() < PARTITION_PROBABILITY) fleet.healPartitions();
  if (random() < PARTITION_PROBABILITY) isolate(fleet, random);
  const drawn = random();
  const [name] = fleet.names;
  if (drawn < 0.3 && name !== undefined) {
    end(fleet, crashed, pick(fleet.names, random));
  }
  for (const gone of crashed) {
    if (random() < 0.5) continue;
    crashed.delete(gone);
    // Some are replaced by an entry of another name.
    const isReplaced = random() < 0.1;
    fleet.start(isReplaced ? `${gone}'` : gone);
  }
}

/** Partitions one entry from all others. */
function isolate(fleet: BudgetFleet, random: Random): void {
  if (fleet.names.length === 0) return;
  const isolated = pick(fleet.names, random);
  for (const other of fleet.names) {
    if (other !== isolated) fleet.cut(isolated, other);
  }
}

function end(fleet: BudgetFleet, crashed: Set<string>, name: string): void {
  fleet.end(name);
  crashed.add(name);
}

/** Adds random requests, and retries as far as the budget allows. */
function generateLoad(
  fleet: BudgetFleet,
  name: string,
  random: Random,
  judge: RetryJudge,
  clock: VirtualClock,
  maxRequests: number,
): void {
  const budget = fleet.budgetsOf(name).of(SERVICE);
  const requests = Math.floor(random() * maxRequests);
  for (let count = 0; count < requests; count++) {
    budget.noteRequest();
    judge.noteRequest(clock.nowMs());
  }
  const wanted = Math.floor(random() * 12);
  for (let count = 0; count < wanted && budget.tryTake(); count++) {
    judge.noteRetry(clock.nowMs());
  }
}

function pick(names: readonly string[], random: Random): string {
  return names[Math.floor(random() * names.length)]!;
}

describe('the retry budgets of a fleet', () => {
  // Guards against entries that exceed the shared budget by restarts in any order.
  it('stay within the allowance in every window', async () => {
    const errors: string[] = [];
    let retries = 0;
    for (let seed = 0; seed < SERIES; seed++) {
      const {worstExcess, retryCount} = await runSeries(seed);
      if (worstExcess > 0) errors.push(`seed ${seed}: ${worstExcess} more`);
      retries += retryCount;
    }
    expect(errors).toEqual([]);
    expect(retries).toBeGreaterThan(SERIES * SLACK);
  });
});
