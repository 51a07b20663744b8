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

/** Takes all that an entry may, of one service. */
function takeAll(name: string): number {
  const budget = fleet.budgetsOf(name).of(SERVICE);
  let taken = 0;
  while (taken < 1_000 && budget.tryTake()) taken++;
  return taken;
}

describe('RetryBudgets', () => {
  describe('of an entry that starts anew', () => {
    // Guards the shared budget from lives of an entry that each count from nothing.
    it('count what its former life has taken', async () => {
      const taken = takeAll('a');
      expect(taken).toBeGreaterThan(5);
      fleet.end('a');
      await clock.advance(700);
      fleet.start('a');
      expect(takeAll('a')).toBe(0);
    });

    it('leave it what its former life has left', async () => {
      fleet.budgetsOf('a').of(SERVICE).tryTake();
      fleet.end('a');
      await clock.advance(700);
      fleet.start('a');
      const left = takeAll('a');
      expect(left).toBe(takeAll('b') - 1);
    });

    // Guards it from an entry that was told of its new life before that knew of the former one.
    it('are remembered by those that heard of its former life from it', async () => {
      takeAll('a');
      fleet.end('a');
      fleet.end('b');
      fleet.start('b');
      fleet.cut('a', 'c');
      fleet.cut('a', 'd');
      fleet.start('a');
      fleet.mend();
      fleet.end('c');
      fleet.end('d');
      fleet.end('a');
      await clock.advance(700);
      fleet.start('a');
      expect(takeAll('a')).toBe(0);
    });

    it('have no slack until somebody tells of its former life', async () => {
      for (const name of ['a', 'b', 'c', 'd']) fleet.end(name);
      await clock.advance(700);
      fleet.start('a');
      fleet.start('b');
      expect(takeAll('a') + takeAll('b')).toBe(0);
    });

    // Guards them from earning again, in one window, by requests of both lives.
    it('allow nothing meanwhile, whatever its requests earn', async () => {
      for (const name of ['a', 'b', 'c', 'd']) fleet.end(name);
      await clock.advance(700);
      fleet.start('a');
      const budget = fleet.budgetsOf('a').of(SERVICE);
      for (let count = 0; count < 100; count++) budget.noteRequest();
      expect(takeAll('a')).toBe(0);
    });

    // Guards them from repeats that former lives earned before the window, forgotten in it.
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
      let repeats = takeByAll();
      for (const name of names) {
        fleet.end(name);
        fleet.start(name);
      }
      await clock.advance(1_500);
      askAll();
      await clock.advance(8_000);
      repeats += takeByAll();
      expect(repeats).toBeGreaterThan(SLACK);
      expect(repeats).toBeLessThanOrEqual(400 * 0.2 + SLACK);
    });

    it('count what its former life was asked for, too', async () => {
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

    it('have their part once a window has passed, whoever tells nothing', async () => {
      for (const name of ['a', 'b', 'c', 'd']) fleet.end(name);
      fleet.start('a');
      await clock.advance(10_300);
      expect(takeAll('a')).toBeGreaterThan(5);
    });

    it('trust nobody who has not heard its former life for long', async () => {
      fleet.cut('a', 'b');
      fleet.cut('a', 'c');
      fleet.cut('a', 'd');
      await clock.advance(4_000);
      takeAll('a');
      fleet.end('a');
      fleet.mend();
      fleet.start('a');
      expect(takeAll('a')).toBe(0);
    });
  });

  describe('of an entry that links to others in its next life', () => {
    // Guards them from taking the first words of a new life for ones of the former.
    it('have no slack where its former life was not heard for long', async () => {
      for (const other of ['b', 'c', 'd']) fleet.cut('a', other);
      await clock.advance(4_000);
      takeAll('a');
      fleet.end('a');
      fleet.mend();
      for (const other of ['b', 'c', 'd']) {
        fleet.budgetsOf(other).noteHeard('a');
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

  describe('of entries that nothing tells of the fleet', () => {
    // Guards the slack from entries that an outage of the store leaves alone in their view.
    it('stay divided by those that were seen before', async () => {
      fleet.isStoreThere = false;
      fleet.seenEntries = 1;
      await clock.advance(30_000);
      const taken = ['a', 'b', 'c', 'd'].map(takeAll);
      expect(taken.reduce((sum, one) => sum + one, 0)).toBeLessThanOrEqual(
        SLACK,
      );
    });

    it('are those that are left, once the store tells so for a window', async () => {
      fleet.seenEntries = 1;
      await clock.advance(10_500);
      expect(takeAll('a')).toBeGreaterThan(40);
    });
  });

  describe('of an entry that no other one hears', () => {
    beforeEach(() => {
      for (const other of ['b', 'c', 'd']) fleet.cut('a', other);
    });

    it('have no slack for repeats', () => {
      expect(takeAll('a')).toBe(0);
    });

    // Guards streams that have begun from being lost with their engine.
    it('have their part for a generation that goes on elsewhere', () => {
      expect(fleet.budgetsOf('a').of(SERVICE).tryContinue()).toBe(true);
    });
  });

  describe('for a generation that goes on elsewhere', () => {
    it('give it what other entries have left', () => {
      const budget = fleet.budgetsOf('a').of(SERVICE);
      const own = takeAll('a');
      let more = 0;
      while (more < 1_000 && budget.tryContinue()) more++;
      expect(more).toBeGreaterThan(2 * own);
      expect(own + more).toBeLessThanOrEqual(SLACK);
    });

    it('count what others have taken', () => {
      const others = takeAll('b') + takeAll('c') + takeAll('d');
      const budget = fleet.budgetsOf('a').of(SERVICE);
      let taken = 0;
      while (taken < 1_000 && budget.tryContinue()) taken++;
      expect(taken).toBeGreaterThan(0);
      expect(others + taken).toBeLessThanOrEqual(SLACK);
    });

    it('leave the parts of entries that are not heard', () => {
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
