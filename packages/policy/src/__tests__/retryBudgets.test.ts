import {VirtualClock} from '@lilacledge/shared';
import {beforeEach, describe, expect, it} from 'vitest';
import {BudgetFleet} from './budgetFleet.js';

const SLACK = 50;
const SERVICE = 'calls';

let clock: VirtualClock;
let fleet: BudgetFleet;

beforeEach(() => {
  clock = new VirtualClock();
  fleet = new BudgetFleet(clock, SLACK, ['a', 'b', 'c', 'd']);
});

/** Takes all retries that an entry may, for one service. */
function takeAll(name: string): number {
  const budget = fleet.budgetsOf(name).of(SERVICE);
  let taken = 0;
  while (taken < 1_000 && budget.tryTake()) taken++;
  return taken;
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

    it('allow what its prior incarnation has left', async () => {
      fleet.budgetsOf('a').of(SERVICE).tryTake();
      fleet.end('a');
      await clock.advance(700);
      fleet.start('a');
      const left = takeAll('a');
      expect(left).toBe(takeAll('b') - 1);
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

    it('have no slack until an entry reports its prior use', async () => {
      for (const name of ['a', 'b', 'c', 'd']) fleet.end(name);
      await clock.advance(700);
      fleet.start('a');
      fleet.start('b');
      expect(takeAll('a') + takeAll('b')).toBe(0);
    });

    // Guards against requests of both incarnations that earn retries in one window.
    it('allow nothing until then, whatever its requests earn', async () => {
      for (const name of ['a', 'b', 'c', 'd']) fleet.end(name);
      await clock.advance(700);
      fleet.start('a');
      const budget = fleet.budgetsOf('a').of(SERVICE);
      for (let count = 0; count < 100; count++) budget.noteRequest();
      expect(takeAll('a')).toBe(0);
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

    it('count the requests of its prior incarnation too', async () => {
      const ask = (): void => {
        const budget = fleet.budgetsOf('a').of(SERVICE);
        for (let count = 0; count < 100; count++) budget.noteRequest();
      };
      ask();
      const taken = takeAll('a');
      fleet.end('a');
      await clock.advance(700);
      fleet.start('a');
      expect(takeAll('a')).toBe(0);
      ask();
      const more = takeAll('a');
      expect(more).toBeGreaterThan(10);
      expect(taken + more).toBeLessThanOrEqual(200 * 0.2 + SLACK / 4);
    });

    it('have their share after a window, even without any report', async () => {
      for (const name of ['a', 'b', 'c', 'd']) fleet.end(name);
      fleet.start('a');
      await clock.advance(10_300);
      expect(takeAll('a')).toBeGreaterThan(5);
    });

    it('ignore entries that had long not heard from its prior incarnation', async () => {
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
        fleet.budgetsOf(other).notePeerAlive('a');
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
      await clock.advance(10_500);
      expect(takeAll('a')).toBeGreaterThan(40);
    });
  });

  describe('of an entry without a link to another', () => {
    beforeEach(() => {
      for (const other of ['b', 'c', 'd']) fleet.cut('a', other);
    });

    it('have no slack for retries', () => {
      expect(takeAll('a')).toBe(0);
    });

    // Guards against the loss of started streams with their engine.
    it('have their share for a continued generation', () => {
      expect(fleet.budgetsOf('a').of(SERVICE).tryContinue()).toBe(true);
    });
  });

  describe('for a continued generation', () => {
    it('allow what other entries have left', () => {
      const budget = fleet.budgetsOf('a').of(SERVICE);
      const own = takeAll('a');
      let more = 0;
      while (more < 1_000 && budget.tryContinue()) more++;
      expect(more).toBeGreaterThan(2 * own);
      expect(own + more).toBeLessThanOrEqual(SLACK);
    });

    it('count the retries of other entries', () => {
      const others = takeAll('b') + takeAll('c') + takeAll('d');
      const budget = fleet.budgetsOf('a').of(SERVICE);
      let taken = 0;
      while (taken < 1_000 && budget.tryContinue()) taken++;
      expect(taken).toBeGreaterThan(0);
      expect(others + taken).toBeLessThanOrEqual(SLACK);
    });

    it('reserve the shares of entries that do not report', () => {
      fleet.cut('a', 'b');
      fleet.cut('a', 'c');
      fleet.cut('a', 'd');
      const budget = fleet.budgetsOf('a').of(SERVICE);
      let taken = 0;
      while (taken < 1_000 && budget.tryContinue()) taken++;
      expect(taken).toBeLessThanOrEqual(SLACK / 4);
    });
  });
});
