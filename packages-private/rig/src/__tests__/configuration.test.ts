import {fleetConfigSchema} from '@lilacledge/config';
import {createConfigStore} from '@lilacledge/store';
import type {ApplyResult} from '@lilacledge/store';
import {rendezvous} from '@lilacledge/shared';
import {beforeEach, describe, expect, it} from 'vitest';
import {Rig, rigConfig} from '../index.js';

/** A change must be active at every process within this time. */
const MAX_PROPAGATION_MS = 6_000;

async function createFleet(entries: number): Promise<Rig> {
  const rig = new Rig({seed: 3, linksPerService: 3});
  for (let index = 1; index <= 12; index++) {
    rig.addEngine(`engine-${index}`, 'drafting-llm', 'calamba');
  }
  for (let index = 1; index <= entries; index++) {
    rig.addEntry(`entry-${index}`, 'calamba', {configWatchers: 2});
  }
  await rig.applyConfig(rigConfig());
  await rig.settle();
  return rig;
}

function withOrganisations(...ids: string[]): unknown {
  return rigConfig({}, ids);
}

describe('the configuration', () => {
  let rig: Rig;

  beforeEach(async () => {
    rig = await createFleet(8);
  });

  /** Applies a change that its author based on revision `readRevision`. */
  async function apply(
    writeId: string,
    config: unknown,
    readRevision: number,
    newestRevision = readRevision,
  ): Promise<ApplyResult> {
    const store = createConfigStore(rig.platform.store, rig.clock);
    const pending = store.apply(
      {
        writeId,
        author: writeId,
        baseRevision: readRevision,
        config: fleetConfigSchema.parse(config),
      },
      newestRevision,
    );
    await rig.clock.advance(500);
    return pending;
  }

  /** Distinct revisions that are active at the processes. */
  function activeRevisions(): Set<number> {
    const entries = [...rig.entries.values()].map(
      ({entry}) => entry.config.revision,
    );
    const sidecars = [...rig.sidecars.values()].map(
      ({sidecar}) => sidecar.config.revision,
    );
    return new Set([...entries, ...sidecars]);
  }

  async function advanceUntilActive(revision: number): Promise<number> {
    const startMs = rig.clock.nowMs();
    await rig.clock.advanceUntil(
      () => [...activeRevisions()].join() === String(revision),
      120_000,
    );
    return rig.clock.nowMs() - startMs;
  }

  it('is active at every process within seconds of a change', async () => {
    const result = await apply('a', withOrganisations('clark-yard'), 1);
    expect(result).toEqual({outcome: 'applied', revision: 2});
    expect(await advanceUntilActive(2)).toBeLessThan(MAX_PROPAGATION_MS);
  });

  it('is watched in the store by two entries only', () => {
    expect(rig.platform.model.counters.waitingWatches).toBe(2);
  });

  it('reaches the other processes when the watching entries are killed', async () => {
    const watchers = [...rig.entries.values()].filter(({entry}) =>
      isWatcher(entry.settings.instanceId),
    );
    for (const {instanceId} of watchers) {
      rig.killEntry(instanceId);
      rig.setMember(instanceId, undefined);
    }
    await apply('a', withOrganisations('clark-yard'), 1);
    expect(await advanceUntilActive(2)).toBeLessThan(MAX_PROPAGATION_MS);
  });

  describe('two operators apply changes at once', () => {
    it('one is applied, the other gets a conflict with the changed parts', async () => {
      const [first, second] = await Promise.all([
        apply('a', withOrganisations('clark-yard', 'calamba-yard', 'a'), 1),
        apply('b', withOrganisations('clark-yard', 'calamba-yard', 'b'), 1),
      ]);
      const outcomes = [first!, second!].map((result) => result.outcome);
      expect(outcomes.sort()).toEqual(['applied', 'conflict']);
      const lost = [first!, second!].find(
        (result) => result.outcome === 'conflict',
      );
      expect(lost).toMatchObject({
        head: {revision: 2},
        changed: expect.arrayContaining([
          expect.stringContaining('organisations/'),
        ]) as unknown,
      });
    });
  });

  describe('the answer to a write is lost', () => {
    it('and the store can be read: the result is applied', async () => {
      const store = createConfigStore(rig.platform.store, rig.clock);
      const change = {
        writeId: 'a',
        author: 'a',
        baseRevision: 1,
        config: fleetConfigSchema.parse(withOrganisations('clark-yard')),
      };
      loseSwapAnswer();
      const pending = store.apply(change, 1);
      await rig.clock.advance(500);
      expect(await pending).toEqual({outcome: 'applied', revision: 2});
    });

    it('and the store is down: the result is unknown, and a retry is idempotent', async () => {
      loseSwapAnswer(() => {
        rig.platform.faults.isDown = true;
      });
      const config = withOrganisations('clark-yard');
      expect(await apply('a', config, 1)).toMatchObject({outcome: 'unknown'});
      rig.platform.faults.isDown = false;
      expect(await apply('a', config, 1)).toEqual({
        outcome: 'applied',
        revision: 2,
      });
      const head = createConfigStore(rig.platform.store, rig.clock).readHead();
      await rig.clock.advance(10);
      expect((await head)!.revision).toBe(2);
    });
  });

  describe('the store is unavailable for an hour', () => {
    beforeEach(async () => {
      rig.platform.faults.isDown = true;
      await rig.settle(3_600_000);
    });

    it('the active configuration stays, and changes are refused as notApplied', async () => {
      expect([...activeRevisions()]).toEqual([1]);
      const result = await apply('a', withOrganisations('clark-yard'), 1);
      expect(result.outcome).toBe('notApplied');
    });

    it('a new entry and a new sidecar receive the configuration from their peers', async () => {
      rig.addEntry('entry-new', 'clark');
      rig.addEngine('engine-new', 'drafting-llm', 'clark');
      await rig.settle(10_000);
      expect([...activeRevisions()]).toEqual([1]);
    });

    it('a change afterwards becomes active soon, with few store calls', async () => {
      rig.platform.faults.isDown = false;
      const {counters} = rig.platform.model;
      const before = counters.reads + counters.watches;
      await apply('a', withOrganisations('clark-yard'), 1);
      expect(await advanceUntilActive(2)).toBeLessThan(20_000);
      expect(counters.reads + counters.watches - before).toBeLessThan(40);
    });
  });

  describe('the store returns with an older state', () => {
    beforeEach(async () => {
      rig.platform.model.save();
      await apply('a', withOrganisations('clark-yard'), 1);
      await advanceUntilActive(2);
      rig.platform.model.restore();
      await rig.settle(60_000);
    });

    it('no process reverts to the older revision, nor does one that joins', async () => {
      expect([...activeRevisions()]).toEqual([2]);
      rig.addEntry('entry-new', 'clark');
      await rig.settle(60_000);
      expect([...activeRevisions()]).toEqual([2]);
    });

    it('a change is refused until an operator has restored the configuration', async () => {
      const config = withOrganisations('calamba-yard');
      expect(await apply('b', config, 1, 2)).toEqual({
        outcome: 'storeBehind',
        storeRevision: 1,
      });
      const state = rig.entries.get('entry-1')!.entry.config.current!;
      const store = createConfigStore(rig.platform.store, rig.clock);
      const pending = store.restore(state, 'restore', 'operator');
      await rig.clock.advance(500);
      expect(await pending).toEqual({outcome: 'applied', revision: 3});
      await advanceUntilActive(3);
      const {entry} = rig.entries.get('entry-1')!;
      expect(entry.config.current!.config.organisations).toHaveLength(1);
      expect((await apply('b', config, 3)).outcome).toBe('applied');
    });

    it('entries report that the store is behind', () => {
      const reportingEntries = [...rig.entries.values()].filter(
        ({entry}) => entry.config.storeBehindBy > 0,
      );
      expect(reportingEntries.length).toBeGreaterThan(0);
    });
  });

  function isWatcher(instanceId: string): boolean {
    const order = rendezvous('config-watch', [...rig.entries.keys()]);
    return order.slice(0, 2).includes(instanceId);
  }

  /**
   * Loses the answer of the next compare-and-swap. The writes of parts before
   * it get their answers.
   */
  function loseSwapAnswer(then: () => void = () => {}): void {
    const {store} = rig.platform;
    const swap = store.compareAndSwap.bind(store);
    store.compareAndSwap = async (conditions, writes) => {
      store.compareAndSwap = swap;
      rig.platform.faults.lostAnswers = 1;
      try {
        return await swap(conditions, writes);
      } finally {
        then();
      }
    };
  }
});
