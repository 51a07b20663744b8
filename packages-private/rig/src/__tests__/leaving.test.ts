import {beforeEach, describe, expect, it} from 'vitest';
import {checkRun, Rig, rigConfig} from '../index.js';
import type {Caller} from '../index.js';

/** Time after which a leaving endpoint must receive no new work. */
const LEAVING_LIMIT_MS = 3_000;

const ENGINES = ['engine-1', 'engine-2', 'engine-3'];

async function createFleet(
  entrySettings: Readonly<Record<string, unknown>> = {},
): Promise<Rig> {
  const rig = new Rig({seed: 5});
  for (const id of ENGINES) rig.addEngine(id, 'drafting-llm', 'calamba');
  rig.addEntry('entry-1', 'calamba', entrySettings);
  rig.addEntry('entry-2', 'clark', entrySettings);
  await rig.applyConfig(rigConfig());
  await rig.settle();
  return rig;
}

describe('a leaving process', () => {
  let rig: Rig;

  beforeEach(async () => {
    rig = await createFleet();
  });

  function startCount(instanceId: string): number {
    return rig.sidecars.get(instanceId)!.engine!.counters.started;
  }

  async function advanceUntilEnded(callers: readonly Caller[]): Promise<void> {
    await rig.clock.advanceUntil(() =>
      callers.every((caller) => caller.end.kind !== 'open'),
    );
    expect(checkRun(rig)).toEqual([]);
  }

  function startGenerations(count: number, outputTokens: number): Caller[] {
    return Array.from({length: count}, (_, index) =>
      rig.generate(`entry-${1 + (index % 2)}`, {outputTokens}),
    );
  }

  function distinctStates(callers: readonly Caller[]): string[] {
    return [...new Set(callers.map((caller) => caller.end.kind))];
  }

  /**
   * Makes `instanceId` leave under a steady load and returns the time from then
   * until its last start of a generation.
   */
  async function measureLastStartMs(
    instanceId: string,
    leave: () => void,
  ): Promise<number> {
    leave();
    const leaveMs = rig.clock.nowMs();
    let lastMs = 0;
    let count = startCount(instanceId);
    for (let round = 0; round < 100; round++) {
      startGenerations(2, 5);
      await rig.clock.advance(100);
      if (startCount(instanceId) > count) lastMs = rig.clock.nowMs() - leaveMs;
      count = startCount(instanceId);
    }
    await advanceUntilEnded(rig.callers);
    return lastMs;
  }

  describe('no new work reaches an endpoint', () => {
    it('that an operator drains', async () => {
      const lastMs = await measureLastStartMs('engine-1', () => {
        const {entry} = rig.entries.get('entry-1')!;
        entry.pool.find('engine-1')!.send({type: 'drain', reason: 'operator'});
      });
      expect(lastMs).toBeLessThan(LEAVING_LIMIT_MS);
      expect(distinctStates(rig.callers)).toEqual(['complete']);
    });

    it('whose sidecar shuts down (a reclaim notice)', async () => {
      const lastMs = await measureLastStartMs('engine-1', () => {
        void rig.sidecars.get('engine-1')!.sidecar.shutdown();
      });
      expect(lastMs).toBeLessThan(LEAVING_LIMIT_MS);
      expect(distinctStates(rig.callers)).toEqual(['complete']);
    });

    it('that is marked as leaving only in the membership list', async () => {
      const lastMs = await measureLastStartMs('engine-1', () => {
        rig.setMember('engine-1', {leaving: true});
      });
      expect(lastMs).toBeLessThan(LEAVING_LIMIT_MS);
      expect(distinctStates(rig.callers)).toEqual(['complete']);
    });

    it('that the membership list shows as live while its sidecar drains', async () => {
      rig.sidecars.get('engine-1')!.sidecar.startDrain('test');
      await rig.clock.advance(LEAVING_LIMIT_MS);
      const countBefore = startCount('engine-1');
      await advanceUntilEnded(startGenerations(30, 5));
      expect(startCount('engine-1')).toBe(countBefore);
    });
  });

  describe('the membership list is wrong', () => {
    it('and empty: endpoints with an open link stay in use', async () => {
      for (const id of ENGINES) rig.setMember(id, undefined);
      await rig.clock.advance(20_000);
      const callers = startGenerations(10, 5);
      await advanceUntilEnded(callers);
      expect(distinctStates(callers)).toEqual(['complete']);
    });

    it('and marks all as leaving: the state that endpoints announce counts', async () => {
      for (const id of ENGINES) rig.setMember(id, {leaving: true});
      await rig.clock.advance(20_000);
      const callers = startGenerations(10, 5);
      await advanceUntilEnded(callers);
      expect(distinctStates(callers)).toEqual(['complete']);
    });

    it('and keeps a dead instance: the other ones serve', async () => {
      rig.killSidecar('engine-1');
      const callers = startGenerations(10, 5);
      await advanceUntilEnded(callers);
      expect(distinctStates(callers)).toEqual(['complete']);
    });
  });

  describe('a graceful shutdown interrupts no request', () => {
    it('of a sidecar with long and queued generations', async () => {
      const callers = startGenerations(150, 600);
      await rig.clock.advance(1_000);
      void rig.sidecars.get('engine-2')!.sidecar.shutdown();
      await advanceUntilEnded(callers);
      expect(distinctStates(callers)).toEqual(['complete']);
    });

    it('of an entry with long generations', async () => {
      const callers = startGenerations(60, 600);
      await rig.clock.advance(1_000);
      const {entry} = rig.entries.get('entry-1')!;
      void entry.shutdown();
      expect(entry.isReady).toBe(false);
      await rig.clock.advance(1_000);
      const late = rig.generate('entry-1', {outputTokens: 5});
      await advanceUntilEnded([...callers, late]);
      expect(distinctStates([...callers, late])).toEqual(['complete']);
    });

    it('of all sidecars, one after another', async () => {
      const callers = startGenerations(60, 400);
      for (const id of ENGINES) {
        const rigSidecar = rig.sidecars.get(id)!;
        let isDown = false;
        void rigSidecar.sidecar.shutdown().then(() => {
          isDown = true;
        });
        await rig.clock.advanceUntil(() => isDown);
        rig.killSidecar(id);
        rig.restartSidecar(id);
        callers.push(...startGenerations(10, 100));
        await rig.settle(8_000);
      }
      await advanceUntilEnded(callers);
      expect(distinctStates(callers)).toEqual(['complete']);
    });
  });

  it('fails a generation as mayHaveRun when the drain timeout of a shutdown expires', async () => {
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
    const caller = fleet.generate('entry-1', {outputTokens: 5_000});
    await fleet.clock.advance(500);
    void fleet.sidecars.get('engine-1')!.sidecar.shutdown();
    await advanceUntilEnded([caller]);
    expect(caller.end).toMatchObject({
      kind: 'failed',
      failure: {kind: 'cancelled', verdict: 'mayHaveRun'},
    });
  });
});
