import {beforeEach, describe, expect, it} from 'vitest';
import {checkRun, Rig, rigConfig} from '../index.js';
import type {Caller} from '../index.js';

/** A leaving endpoint receives no new work after this time. */
const LEAVING_LIMIT_MS = 3_000;

const ENGINES = ['engine-1', 'engine-2', 'engine-3'];

async function createFleet(
  entryExtra: Readonly<Record<string, unknown>> = {},
): Promise<Rig> {
  const rig = new Rig({seed: 5});
  for (const id of ENGINES) rig.addEngine(id, 'drafting-llm', 'calamba');
  rig.addEntry('entry-1', 'calamba', entryExtra);
  rig.addEntry('entry-2', 'clark', entryExtra);
  await rig.applyConfig(rigConfig());
  await rig.settle();
  return rig;
}

describe('leaving', () => {
  let rig: Rig;

  beforeEach(async () => {
    rig = await createFleet();
  });

  function startedAt(instanceId: string): number {
    return rig.sidecars.get(instanceId)!.engine!.counters.started;
  }

  async function untilEnded(callers: readonly Caller[]): Promise<void> {
    await rig.clock.advanceUntil(() =>
      callers.every((caller) => caller.end.kind !== 'open'),
    );
    expect(checkRun(rig)).toEqual([]);
  }

  function askMany(count: number, outputTokens: number): Caller[] {
    return Array.from({length: count}, (_, index) =>
      rig.ask(`entry-${1 + (index % 2)}`, {outputTokens}),
    );
  }

  function endsOf(callers: readonly Caller[]): string[] {
    return [...new Set(callers.map((caller) => caller.end.kind))];
  }

  /** Starts work all the time and says when `instanceId` got the last. */
  async function lastStartAfter(
    instanceId: string,
    leave: () => void,
  ): Promise<number> {
    leave();
    const leftMs = rig.clock.nowMs();
    let lastMs = 0;
    let seen = startedAt(instanceId);
    for (let round = 0; round < 100; round++) {
      askMany(2, 5);
      await rig.clock.advance(100);
      if (startedAt(instanceId) > seen) lastMs = rig.clock.nowMs() - leftMs;
      seen = startedAt(instanceId);
    }
    await untilEnded(rig.callers);
    return lastMs;
  }

  describe('no new work reaches an endpoint', () => {
    it('that an operator drains', async () => {
      const lastMs = await lastStartAfter('engine-1', () => {
        const {entry} = rig.entries.get('entry-1')!;
        entry.pool.find('engine-1')!.send({type: 'drain', reason: 'operator'});
      });
      expect(lastMs).toBeLessThan(LEAVING_LIMIT_MS);
      expect(endsOf(rig.callers)).toEqual(['complete']);
    });

    it('that is told to stop (a reclaim notice)', async () => {
      const lastMs = await lastStartAfter('engine-1', () => {
        void rig.sidecars.get('engine-1')!.sidecar.shutdown();
      });
      expect(lastMs).toBeLessThan(LEAVING_LIMIT_MS);
      expect(endsOf(rig.callers)).toEqual(['complete']);
    });

    it('that the membership list alone calls leaving', async () => {
      const lastMs = await lastStartAfter('engine-1', () => {
        rig.setMember('engine-1', {leaving: true});
      });
      expect(lastMs).toBeLessThan(LEAVING_LIMIT_MS);
      expect(endsOf(rig.callers)).toEqual(['complete']);
    });

    it('that the list still shows as live while its sidecar drains', async () => {
      rig.sidecars.get('engine-1')!.sidecar.startDrain('test');
      await rig.clock.advance(LEAVING_LIMIT_MS);
      const before = startedAt('engine-1');
      await untilEnded(askMany(30, 5));
      expect(startedAt('engine-1')).toBe(before);
    });
  });

  describe('the membership list is wrong', () => {
    it('and empty: what is linked goes on being used', async () => {
      for (const id of ENGINES) rig.setMember(id, undefined);
      await rig.clock.advance(20_000);
      const callers = askMany(10, 5);
      await untilEnded(callers);
      expect(endsOf(callers)).toEqual(['complete']);
    });

    it('and calls all leaving: the endpoints’ own word counts', async () => {
      for (const id of ENGINES) rig.setMember(id, {leaving: true});
      await rig.clock.advance(20_000);
      const callers = askMany(10, 5);
      await untilEnded(callers);
      expect(endsOf(callers)).toEqual(['complete']);
    });

    it('and keeps a dead instance: the others answer', async () => {
      rig.killSidecar('engine-1');
      const callers = askMany(10, 5);
      await untilEnded(callers);
      expect(endsOf(callers)).toEqual(['complete']);
    });
  });

  describe('a graceful shutdown cuts off no request', () => {
    it('of a sidecar with long and queued generations', async () => {
      const callers = askMany(150, 600);
      await rig.clock.advance(1_000);
      void rig.sidecars.get('engine-2')!.sidecar.shutdown();
      await untilEnded(callers);
      expect(endsOf(callers)).toEqual(['complete']);
    });

    it('of an entry with long generations', async () => {
      const callers = askMany(60, 600);
      await rig.clock.advance(1_000);
      const {entry} = rig.entries.get('entry-1')!;
      void entry.shutdown();
      expect(entry.isReady).toBe(false);
      await rig.clock.advance(1_000);
      const late = rig.ask('entry-1', {outputTokens: 5});
      await untilEnded([...callers, late]);
      expect(endsOf([...callers, late])).toEqual(['complete']);
    });

    it('of all sidecars, one after the other', async () => {
      const callers = askMany(60, 400);
      for (const id of ENGINES) {
        const old = rig.sidecars.get(id)!;
        let isDown = false;
        void old.sidecar.shutdown().then(() => {
          isDown = true;
        });
        await rig.clock.advanceUntil(() => isDown);
        rig.killSidecar(id);
        rig.restartSidecar(id);
        callers.push(...askMany(10, 100));
        await rig.settle(8_000);
      }
      await untilEnded(callers);
      expect(endsOf(callers)).toEqual(['complete']);
    });
  });

  it('ends what is left honestly when the time of a shutdown is over', async () => {
    const fleet = new Rig({seed: 6});
    rig = fleet;
    fleet.addEngine(
      'engine-1',
      'drafting-llm',
      'calamba',
      {},
      {
        drainTimeoutMs: 2_000,
      },
    );
    fleet.addEntry('entry-1', 'calamba');
    await fleet.applyConfig(rigConfig());
    await fleet.settle();
    const caller = fleet.ask('entry-1', {outputTokens: 5_000});
    await fleet.clock.advance(500);
    void fleet.sidecars.get('engine-1')!.sidecar.shutdown();
    await untilEnded([caller]);
    expect(caller.end).toMatchObject({
      kind: 'failed',
      failure: {kind: 'cancelled', verdict: 'mayHaveRun'},
    });
  });
});
