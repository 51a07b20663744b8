import {VirtualClock} from '@lilacledge/shared';
import {beforeEach, describe, expect, it} from 'vitest';
import {RetryKind} from '../sharedRetryBudget.js';
import type {TakenRetry} from '../sharedRetryBudget.js';
import {BudgetFleet} from './budgetFleet.js';
import {RetryJudge} from './retryJudge.js';
import {takeArriving} from './takeArriving.js';

const SLACK = 54;
const SERVICE = 'calls';
const NAMES = ['a', 'b', 'c', 'd'];

let clock: VirtualClock;
let fleet: BudgetFleet;
let judge: RetryJudge;

beforeEach(() => {
  clock = new VirtualClock();
  fleet = new BudgetFleet(clock, SLACK, NAMES);
  judge = new RetryJudge(SLACK);
});

function request(name: string, count: number): void {
  for (let sent = 0; sent < count; sent++) {
    fleet.budgetsOf(name).of(SERVICE).noteRequest();
    judge.noteRequest(clock.nowMs());
  }
}

/** Sends requests to some entries at an even pace, each of which is retried if `isRejected`. */
async function load(
  names: readonly string[],
  seconds: number,
  perS: number,
  isRejected = false,
): Promise<void> {
  for (let sent = 0; sent < seconds * perS; sent++) {
    const name = names[sent % names.length]!;
    request(name, 1);
    if (isRejected) retryAll(name, 3);
    await clock.advance(1_000 / perS);
  }
}

function retryAll(name: string, wanted: number): void {
  for (let count = 0; count < wanted; count++) {
    if (!fleet.takeRetry(name, SERVICE)) return;
    judge.noteRetry(clock.nowMs());
  }
}

/** Takes retries whose arrival lies ahead. */
function openAll(name: string, wanted: number): TakenRetry[] {
  const taken: TakenRetry[] = [];
  while (taken.length < wanted) {
    const retry = fleet.openRetry(name, SERVICE);
    if (retry === undefined) break;
    taken.push(retry);
  }
  return taken;
}

async function continueAll(name: string, wanted: number): Promise<void> {
  for (let count = 0; count < wanted; count++) {
    if (!(await fleet.continueRun(name, SERVICE))) return;
    judge.noteRetry(clock.nowMs());
  }
}

describe('retries of a fleet in every window', () => {
  // Guards against retries that are sent in a window without the requests that earned them.
  it('stay within the allowance after two bursts', async () => {
    await load(NAMES, 10, 28);
    await load(NAMES, 2, 170);
    await load(NAMES, 5, 28);
    await load(NAMES, 2, 170, true);
    await load(NAMES, 10, 28);
    expect(judge.worstExcess).toBeLessThanOrEqual(0);
    expect(judge.retryCount).toBeGreaterThan(SLACK);
  });

  // Guards against entries that each earn retries by the same callers, who move between them.
  it('stay within the allowance while callers move to another entry', async () => {
    await load(['a'], 20, 60);
    retryAll('a', 1_000);
    await load(['b'], 9.9, 60);
    retryAll('b', 1_000);
    expect(judge.worstExcess).toBeLessThanOrEqual(0);
    expect(judge.retryCount).toBeGreaterThan(SLACK / 4);
  });

  // Guards against shares that both their owner and the entry that borrowed them use.
  it('stay within the allowance if shares are borrowed before their owners need them', async () => {
    request('a', 80);
    await clock.advance(1_000);
    await continueAll('a', 80);
    for (const name of NAMES.slice(1)) {
      request(name, 27);
      retryAll(name, 27);
    }
    expect(judge.worstExcess).toBeLessThanOrEqual(0);
    expect(judge.retryCount).toBeGreaterThan(SLACK / 2);
  });

  // Guards against a share that is used again by the next life of an entry nobody could hear.
  it('stay within the allowance if entries that were cut off end unnoticed', async () => {
    for (const name of ['a', 'b']) {
      fleet.loseMessagesOf(name);
      retryAll(name, 1_000);
      fleet.end(name);
      fleet.start(name);
    }
    for (const name of NAMES) retryAll(name, 1_000);
    expect(judge.worstExcess).toBeLessThanOrEqual(0);
    expect(judge.retryCount).toBeGreaterThan(SLACK / 2);
  });

  // Guards against an entry that keeps its share after the others have divided it.
  it('stay within the allowance while one entry is cut off from all', async () => {
    fleet.cutStore('a');
    for (const other of NAMES.slice(1)) fleet.cut('a', other);
    await clock.advance(20_000);
    for (const name of NAMES) retryAll(name, 1_000);
    expect(judge.worstExcess).toBeLessThanOrEqual(0);
    expect(judge.retryCount).toBeGreaterThan(0.8 * SLACK);
  });

  // Guards against entries that divide the slack without one that only some of them see.
  it('stay within the allowance while one entry is seen by another one alone', async () => {
    fleet.cutStore('a');
    for (const other of NAMES.slice(2)) fleet.cut('a', other);
    await clock.advance(20_000);
    for (const name of NAMES) retryAll(name, 1_000);
    expect(judge.worstExcess).toBeLessThanOrEqual(0);
    expect(judge.retryCount).toBeGreaterThan(0.8 * SLACK);
  });

  // Guards against shares that are used again while loans of them still arrive.
  it('stay within the allowance if loans are used late', async () => {
    const loans = Array.from({length: 30}, () => fleet.borrow('a', SERVICE));
    await clock.advance(990);
    retryAll('a', 1_000);
    const budget = fleet.budgetsOf('a').of(SERVICE);
    for (const loan of loans) {
      if (takeArriving(budget, clock, loan) !== undefined) {
        judge.noteRetry(clock.nowMs());
      }
    }
    expect(judge.retryCount).toBeGreaterThan(0.6 * SLACK);
    for (let step = 0; step < 50; step++) {
      await clock.advance(250);
      for (const name of NAMES) retryAll(name, 1_000);
    }
    expect(judge.worstExcess).toBeLessThanOrEqual(0);
  });

  // Guards against sends that arrive in a later window than the one that counted them.
  it.each([5_500, 9_000, 25_000, 50_000])(
    'stay within the allowance while some arrive %i ms late, together',
    async (lateMs) => {
      await load(NAMES, 20, 28);
      const late: TakenRetry[] = [];
      for (let elapsedMs = 0; elapsedMs < lateMs; elapsedMs += 500) {
        for (const name of NAMES) late.push(...openAll(name, 2));
        await load(NAMES, 0.5, 28, true);
      }
      for (const retry of late) {
        judge.noteRetry(clock.nowMs());
        retry.settle(clock.nowMs());
      }
      expect(late.length).toBeGreaterThan(0.25 * SLACK);
      await load(NAMES, 12, 28, true);
      expect(judge.worstExcess).toBeLessThanOrEqual(0);
    },
  );

  // Guards against late sends in windows whose callers have left.
  it('stay within the allowance if callers leave before they arrive', async () => {
    await load(NAMES, 20, 60);
    const late = NAMES.flatMap((name) => openAll(name, 1_000));
    expect(late.length).toBeGreaterThan(0.8 * SLACK);
    await clock.advance(45_000);
    for (const retry of late) {
      judge.noteRetry(clock.nowMs());
      retry.settle(clock.nowMs());
    }
    expect(judge.worstExcess).toBeLessThanOrEqual(0);
  });

  // Guards against sends of a life that has ended, which arrive beside those of the next one.
  it('stay within the allowance if their entry ends before they arrive', async () => {
    await load(NAMES, 20, 28);
    for (let round = 0; round < 3; round++) {
      for (const name of NAMES) {
        openAll(name, 3).forEach(() => {
          clock.after(10_000, () => judge.noteRetry(clock.nowMs()));
        });
        fleet.end(name);
        fleet.start(name);
      }
      await load(NAMES, 4, 28, true);
    }
    await load(NAMES, 20, 28, true);
    expect(judge.worstExcess).toBeLessThanOrEqual(0);
  });

  // Guards against a share that is used again while what was lent of it has yet to arrive.
  it('stay within the allowance if what was borrowed arrives late', async () => {
    const late: TakenRetry[] = [];
    for (let count = 0; count < 30; count++) {
      const retry = fleet.openRetry('a', SERVICE, RetryKind.CONTINUATION);
      if (retry !== undefined) late.push(retry);
    }
    expect(late.length).toBeGreaterThan(0.4 * SLACK);
    await clock.advance(20_000);
    for (const name of NAMES) retryAll(name, 1_000);
    for (const retry of late) {
      judge.noteRetry(clock.nowMs());
      retry.settle(clock.nowMs());
    }
    expect(judge.worstExcess).toBeLessThanOrEqual(0);
  });

  it('use nine tenths of the allowance in steady load', async () => {
    await load(NAMES, 20, 28);
    await load(NAMES, 30, 28, true);
    expect(judge.worstExcess).toBeLessThanOrEqual(0);
    expect(judge.worstExcess).toBeGreaterThan(-0.1 * (0.2 * 280 + SLACK));
  });
});
