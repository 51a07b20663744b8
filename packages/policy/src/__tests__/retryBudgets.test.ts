import {VirtualClock} from '@lilacledge/shared';
import {beforeEach, describe, expect, it} from 'vitest';
import {RetrySource} from '../sharedRetryBudget.js';
import {BudgetFleet} from './budgetFleet.js';
import {RetryJudge} from './retryJudge.js';
import {takeArriving} from './takeArriving.js';

const SLACK = 50;
const SERVICE = 'calls';

let clock: VirtualClock;
let fleet: BudgetFleet;
let judge: RetryJudge;

beforeEach(() => {
  clock = new VirtualClock();
  judge = new RetryJudge(SLACK);
  fleet = new BudgetFleet(clock, SLACK, ['a', 'b', 'c', 'd']);
});

/** Takes all retries that an entry may out of its own share, for one service. */
function takeAll(name: string): number {
  const budget = fleet.budgetsOf(name).of(SERVICE);
  let taken = 0;
  while (taken < 1_000 && takeArriving(budget, clock)) taken++;
  for (let count = 0; count < taken; count++) judge.noteRetry(clock.nowMs());
  return taken;
}

/** Takes all retries that an entry may, including loans. */
function borrowAll(name: string): number {
  let taken = 0;
  while (taken < 1_000 && fleet.takeRetry(name, SERVICE)) taken++;
  for (let count = 0; count < taken; count++) judge.noteRetry(clock.nowMs());
  return taken;
}

async function continueAll(name: string): Promise<number> {
  let taken = 0;
  while (taken < 1_000 && (await fleet.continueRun(name, SERVICE))) taken++;
  return taken;
}

/** Sends requests to entries in turn, 40 a second. */
async function request(
  names: readonly string[],
  seconds: number,
): Promise<void> {
  for (let count = 0; count < seconds * 40; count++) {
    fleet
      .budgetsOf(names[count % names.length]!)
      .of(SERVICE)
      .noteRequest();
    judge.noteRequest(clock.nowMs());
    await clock.advance(25);
  }
}

describe('RetryBudgets', () => {
  describe('of an entry that restarts', () => {
    // Guards against incarnations of an entry that each start with a fresh budget.
    it('count the retries of its prior incarnation', async () => {
      const taken = takeAll('a');
      expect(taken).toBeGreaterThan(5);
      fleet.end('a');
      await clock.advance(700);
      fleet.start('a');
      expect(takeAll('a')).toBe(0);
    });

    it('allow what other entries have left, at least as much as their own share', async () => {
      const share = takeAll('b');
      fleet.end('a');
      await clock.advance(700);
      fleet.start('a');
      expect(takeAll('a')).toBe(0);
      expect(borrowAll('a')).toBeGreaterThanOrEqual(share);
      expect(takeAll('c') + takeAll('d')).toBe(0);
      expect(judge.worstExcess).toBeLessThanOrEqual(0);
    });

    // Guards against an entry that forgets the prior incarnation if the new one reports first.
    it('survive several restarts through the entries that received its reports', async () => {
      takeAll('a');
      fleet.end('a');
      fleet.end('b');
      fleet.start('b');
      fleet.cut('a', 'c');
      fleet.cut('a', 'd');
      fleet.start('a');
      fleet.healPartitions();
      fleet.end('c');
      fleet.end('d');
      fleet.end('a');
      await clock.advance(700);
      fleet.start('a');
      expect(takeAll('a')).toBe(0);
    });

    it('have no slack to share if all have restarted', async () => {
      for (const name of ['a', 'b', 'c', 'd']) fleet.end(name);
      await clock.advance(700);
      fleet.start('a');
      fleet.start('b');
      expect(borrowAll('a') + borrowAll('b')).toBe(0);
    });

    // Guards against requests of both incarnations that earn retries in one window.
    it('earn retries by requests of the new incarnation, within the allowance', async () => {
      const names = ['a', 'b', 'c', 'd'];
      await request(names, 10);
      for (const name of names) takeAll(name);
      for (const name of names) fleet.end(name);
      for (const name of names) fleet.start(name);
      let taken = 0;
      for (let second = 0; second < 9; second++) {
        await request(names, 1);
        for (const name of names) taken += borrowAll(name);
      }
      expect(taken).toBeGreaterThan(0.4 * 0.2 * 9 * 40);
      expect(judge.worstExcess).toBeLessThanOrEqual(0);
    });

    // Guards against forgetting retries that prior incarnations earned before the window.
    it('stay within what the requests of one window allow', async () => {
      const names = ['a', 'b', 'c', 'd'];
      const askAll = (): void => {
        for (const name of names) {
          const budget = fleet.budgetsOf(name).of(SERVICE);
          for (let count = 0; count < 100; count++) budget.noteRequest();
        }
      };
      const takeByAll = (): number =>
        names.reduce((sum, name) => sum + takeAll(name), 0);
      askAll();
      await clock.advance(9_000);
      let retries = takeByAll();
      for (const name of names) {
        fleet.end(name);
        fleet.start(name);
      }
      await clock.advance(1_500);
      askAll();
      await clock.advance(8_000);
      retries += takeByAll();
      expect(retries).toBeGreaterThan(SLACK);
      expect(retries).toBeLessThanOrEqual(400 * 0.2 + SLACK);
    });

    it('keep to the allowance over several restarts under load', async () => {
      const names = ['a', 'b', 'c', 'd'];
      let taken = 0;
      for (let round = 0; round < 20; round++) {
        await request(names, 1);
        const restarted = names[round % names.length]!;
        for (const name of names) taken += borrowAll(name);
        fleet.end(restarted);
        fleet.start(restarted);
      }
      expect(taken).toBeGreaterThan(0.5 * 0.2 * 20 * 40);
      expect(judge.worstExcess).toBeLessThanOrEqual(0);
    });

    it('have their share once no window has retries of the prior incarnation', async () => {
      for (const name of ['a', 'b', 'c', 'd']) fleet.end(name);
      fleet.start('a');
      await clock.advance(12_900);
      expect(takeAll('a')).toBe(0);
      await clock.advance(200);
      expect(takeAll('a')).toBeGreaterThan(5);
    });

    it('have no slack after a prior incarnation that nobody heard', async () => {
      fleet.cut('a', 'b');
      fleet.cut('a', 'c');
      fleet.cut('a', 'd');
      await clock.advance(4_000);
      takeAll('a');
      fleet.end('a');
      fleet.healPartitions();
      fleet.start('a');
      expect(takeAll('a')).toBe(0);
    });
  });

  describe('of an entry that links to others after a restart', () => {
    // Guards against a keep-alive of the new incarnation that counts for the prior one.
    it('have no slack if its prior incarnation was not heard for long', async () => {
      for (const other of ['b', 'c', 'd']) fleet.cut('a', other);
      await clock.advance(4_000);
      takeAll('a');
      fleet.end('a');
      fleet.healPartitions();
      for (const other of ['b', 'c', 'd']) {
        fleet.budgetsOf(other).notePeerAlive();
      }
      fleet.start('a');
      expect(takeAll('a')).toBe(0);
    });
  });

  describe('of an entry that is new in the fleet', () => {
    it('have no slack in its first window', () => {
      fleet.start('e');
      expect(takeAll('e')).toBe(0);
    });
  });

  describe('of entries in an outage of the store', () => {
    // Guards against entries that see only themselves in an outage and use the whole slack.
    it('stay divided by the entries seen before', async () => {
      fleet.isStoreReachable = false;
      fleet.visibleEntryCount = 1;
      await clock.advance(30_000);
      const taken = ['a', 'b', 'c', 'd'].map(takeAll);
      expect(taken.reduce((sum, one) => sum + one, 0)).toBeLessThanOrEqual(
        SLACK,
      );
    });

    it('are divided by the remaining entries after a window with the store reachable', async () => {
      fleet.visibleEntryCount = 1;
      await clock.advance(14_000);
      expect(takeAll('a')).toBeGreaterThan(40);
    });
  });

  describe('of an entry without a link to another', () => {
    beforeEach(() => {
      for (const other of ['b', 'c', 'd']) fleet.cut('a', other);
    });

    // Guards against the loss of started streams with their engine.
    it('have their share for a continued generation', async () => {
      expect(await fleet.continueRun('a', SERVICE)).toBe(true);
    });

    describe('and without the store', () => {
      beforeEach(() => fleet.cutStore('a'));

      // Guards against an entry that uses its share after others have divided it.
      it('have no slack once others may have lost sight of it', async () => {
        await clock.advance(7_500);
        expect(takeAll('a')).toBe(0);
      });

      it('have it back only after a window', async () => {
        await clock.advance(20_000);
        fleet.healPartitions();
        await clock.advance(12_000);
        expect(takeAll('a')).toBe(0);
        await clock.advance(2_000);
        expect(takeAll('a')).toBeGreaterThan(5);
      });
    });
  });

  describe('for a continued generation', () => {
    it('allow what other entries have left', async () => {
      const own = takeAll('a');
      const more = await continueAll('a');
      expect(more).toBeGreaterThan(2 * own);
      expect(own + more).toBeLessThanOrEqual(SLACK);
    });

    it('count the retries of other entries', async () => {
      const others = takeAll('b') + takeAll('c') + takeAll('d');
      const taken = await continueAll('a');
      expect(taken).toBeGreaterThan(0);
      expect(others + taken).toBeLessThanOrEqual(SLACK);
    });

    it('leave the shares of entries that cannot be asked', async () => {
      for (const other of ['b', 'c', 'd']) fleet.cut('a', other);
      expect(await continueAll('a')).toBeLessThanOrEqual(SLACK / 4);
    });

    // Guards against loans that a suspended entry uses in a window that does not count them.
    it('do not use a loan that has expired', async () => {
      const loan = fleet.borrow('a', SERVICE);
      takeAll('a');
      await clock.advance(1_100);
      const budget = fleet.budgetsOf('a').of(SERVICE);
      expect(takeArriving(budget, clock, loan)).toBeUndefined();
    });

    it('use a loan once', () => {
      const loan = fleet.borrow('a', SERVICE);
      takeAll('a');
      const budget = fleet.budgetsOf('a').of(SERVICE);
      expect(takeArriving(budget, clock, loan)).toBe(RetrySource.LOAN);
      expect(takeArriving(budget, clock, loan)).toBeUndefined();
    });
  });
});
