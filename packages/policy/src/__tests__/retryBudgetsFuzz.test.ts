import {createRandom, VirtualClock} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';
import {describe, expect, it} from 'vitest';
import {BudgetFleet} from './budgetFleet.js';

const RATIO = 0.2;
const SLACK = 54;
const WINDOW_MS = 10_000;
const SERVICE = 'calls';

const SERIES = 150;
const STEPS = 120;
const MEAN_STEP_MS = 250;

/** Requests of one entry at a step, fewer than this: few, or many against the slack. */
const MOST_REQUESTS = [4, 30] as const;

/** Part of the steps at which all entries end at once. */
const ALL_END_SHARE = 0.03;

/** Part of the steps at which an entry is cut off from all others, or all cuts end. */
const CUT_SHARE = 0.1;

/** What clients asked for and what reached endpoints beyond that, by time. */
interface Seen {
  readonly requestsMs: number[];
  readonly repeatsMs: number[];
}

/** Entries end and start anew, also under new names, and are cut off, while all take what they can. */
async function playSeries(seed: number, seen: Seen): Promise<string[]> {
  const random = createRandom(seed);
  const clock = new VirtualClock();
  const names = ['a', 'b', 'c', 'd', 'e', 'f'].slice(0, 2 + (seed % 5));
  const fleet = new BudgetFleet(clock, SLACK, names);
  const away = new Set<string>();
  const broken: string[] = [];
  const mostRequests = MOST_REQUESTS[seed % MOST_REQUESTS.length]!;
  for (let step = 0; step < STEPS; step++) {
    await clock.advance(-Math.log(1 - random()) * MEAN_STEP_MS);
    change(fleet, away, random);
    for (const name of fleet.names) {
      load(fleet, name, random, seen, clock, mostRequests);
    }
    const excess = excessAt(seen, clock.nowMs());
    if (excess > 0) broken.push(`seed ${seed}, step ${step}: ${excess} more`);
  }
  return broken;
}

function change(fleet: BudgetFleet, away: Set<string>, random: Random): void {
  if (random() < ALL_END_SHARE) {
    for (const name of fleet.names) end(fleet, away, name);
  }
  if (random() < CUT_SHARE) fleet.mend();
  if (random() < CUT_SHARE) isolate(fleet, random);
  const drawn = random();
  const [name] = fleet.names;
  if (drawn < 0.3 && name !== undefined) {
    end(fleet, away, pick(fleet.names, random));
  }
  for (const gone of away) {
    if (random() < 0.5) continue;
    away.delete(gone);
    // Some are replaced by an instance of another name.
    const isReplaced = random() < 0.1;
    fleet.start(isReplaced ? `${gone}'` : gone);
  }
}

/** Cuts one entry off from all others. */
function isolate(fleet: BudgetFleet, random: Random): void {
  if (fleet.names.length === 0) return;
  const alone = pick(fleet.names, random);
  for (const other of fleet.names) {
    if (other !== alone) fleet.cut(alone, other);
  }
}

function end(fleet: BudgetFleet, away: Set<string>, name: string): void {
  fleet.end(name);
  away.add(name);
}

/** Some requests, and as many repeats as the budget gives. */
function load(
  fleet: BudgetFleet,
  name: string,
  random: Random,
  {requestsMs, repeatsMs}: Seen,
  clock: VirtualClock,
  mostRequests: number,
): void {
  const budget = fleet.budgetsOf(name).of(SERVICE);
  const requests = Math.floor(random() * mostRequests);
  for (let count = 0; count < requests; count++) {
    budget.noteRequest();
    requestsMs.push(clock.nowMs());
  }
  const wanted = Math.floor(random() * 12);
  for (let count = 0; count < wanted && budget.tryTake(); count++) {
    repeatsMs.push(clock.nowMs());
  }
}

function pick(names: readonly string[], random: Random): string {
  return names[Math.floor(random() * names.length)]!;
}

/** How many more there were than are allowed, in the window that ends now (stated). */
function excessAt({requestsMs, repeatsMs}: Seen, nowMs: number): number {
  const requests = Math.max(
    ...[0, WINDOW_MS / 2, WINDOW_MS].map((earlierMs) =>
      countUntil(requestsMs, nowMs - earlierMs),
    ),
  );
  return countUntil(repeatsMs, nowMs) - (RATIO * requests + SLACK);
}

function countUntil(timesMs: readonly number[], untilMs: number): number {
  return timesMs.filter((atMs) => atMs > untilMs - WINDOW_MS && atMs <= untilMs)
    .length;
}

describe('the retry budgets of a fleet', () => {
  // Guards the shared budget from entries that end and start anew in any order.
  it('stay within what is allowed in every window', async () => {
    const broken: string[] = [];
    let repeats = 0;
    for (let seed = 0; seed < SERIES; seed++) {
      const seen: Seen = {requestsMs: [], repeatsMs: []};
      broken.push(...(await playSeries(seed, seen)));
      repeats += seen.repeatsMs.length;
    }
    expect(broken).toEqual([]);
    expect(repeats).toBeGreaterThan(SERIES * SLACK);
  });
});
