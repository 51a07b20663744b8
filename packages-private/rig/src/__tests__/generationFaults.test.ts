import {LinkWay} from '@lilacledge/protocol';
import {beforeEach, describe, expect, it} from 'vitest';
import {checkRun, Rig, rigConfig} from '../index.js';
import type {Caller} from '../index.js';

const SIDECAR_SETTINGS = {resumeGraceMs: 10_000};

/** Two entries and three engines with an active configuration. */
async function createFleet(): Promise<Rig> {
  const rig = new Rig({seed: 7});
  for (const index of [1, 2, 3]) {
    rig.addEngine(
      `engine-${index}`,
      'drafting-llm',
      'calamba',
      {},
      SIDECAR_SETTINGS,
    );
  }
  rig.addEntry('entry-1', 'calamba');
  rig.addEntry('entry-2', 'clark');
  await rig.applyConfig(rigConfig());
  await rig.settle();
  return rig;
}

function findServingSidecar(rig: Rig, caller: Caller): string {
  for (const [id, {engine}] of rig.sidecars) {
    for (const prompt of engine?.prompts.values() ?? []) {
      if (prompt === caller.prompt) return id;
    }
  }
  throw new Error('no engine received the prompt');
}

describe('a generation under faults', () => {
  let rig: Rig;

  beforeEach(async () => {
    rig = await createFleet();
  });

  async function advanceUntilTokens(
    caller: Caller,
    count: number,
  ): Promise<void> {
    await rig.clock.advanceUntil(() => caller.texts.length >= count);
  }

  async function advanceUntilEnded(...callers: Caller[]): Promise<void> {
    await rig.clock.advanceUntil(() =>
      callers.every((caller) => caller.end.kind !== 'open'),
    );
    expect(checkRun(rig)).toEqual([]);
  }

  it('is complete and leaves no open request at the entry', async () => {
    const caller = rig.generate('entry-1', {outputTokens: 30});
    await advanceUntilEnded(caller);
    expect(caller.end.kind).toBe('complete');
    expect(rig.entries.get('entry-1')!.entry.openRequests).toBe(0);
  });

  describe('the engine', () => {
    it('crashes before the first token: another one serves the request', async () => {
      const caller = rig.generate('entry-1', {outputTokens: 30});
      await rig.clock.advanceUntil(() => {
        try {
          return findServingSidecar(rig, caller) !== '';
        } catch {
          return false;
        }
      });
      const first = findServingSidecar(rig, caller);
      rig.sidecars.get(first)!.engine!.crash();
      await advanceUntilEnded(caller);
      expect(caller.end.kind).toBe('complete');
    });

    it.each([1, 29])(
      'crashes after %i tokens: the stream ends at once with an error',
      async (count) => {
        const caller = rig.generate('entry-1', {outputTokens: 30});
        await advanceUntilTokens(caller, count);
        const crashMs = rig.clock.nowMs();
        rig.sidecars.get(findServingSidecar(rig, caller))!.engine!.crash();
        await advanceUntilEnded(caller);
        expect(caller.end).toMatchObject({
          kind: 'failed',
          failure: {verdict: 'mayHaveRun'},
        });
        expect(caller.endedMs - crashMs).toBeLessThan(50);
        expect(
          caller.end.kind === 'failed' && caller.end.failure.retryAfterMs,
        ).toBeGreaterThan(0);
      },
    );

    it('hangs with its sockets open: the stream fails after the idle timeout', async () => {
      const caller = rig.generate('entry-1', {outputTokens: 30});
      await advanceUntilTokens(caller, 5);
      rig.sidecars.get(findServingSidecar(rig, caller))!.engine!.isFrozen =
        true;
      await advanceUntilEnded(caller);
      expect(caller.end.kind).toBe('failed');
    });
  });

  describe('the link', () => {
    it('closes in mid-stream: the same generation continues', async () => {
      const caller = rig.generate('entry-1', {outputTokens: 200});
      await advanceUntilTokens(caller, 50);
      const target = rig.sidecars.get(findServingSidecar(rig, caller))!;
      rig.network.endLinks(target.address);
      await advanceUntilEnded(caller);
      expect(caller.end.kind).toBe('complete');
      expect(target.engine!.counters.started).toBe(1);
    });

    it('closes twice in mid-stream: the same generation continues', async () => {
      const caller = rig.generate('entry-1', {outputTokens: 400});
      for (const count of [50, 150]) {
        await advanceUntilTokens(caller, count);
        const target = rig.sidecars.get(findServingSidecar(rig, caller))!;
        rig.network.endLinks(target.address);
      }
      await advanceUntilEnded(caller);
      expect(caller.end.kind).toBe('complete');
    });

    it('stalls with the socket open and recovers: the stream is complete', async () => {
      const caller = rig.generate('entry-1', {outputTokens: 2_000});
      await advanceUntilTokens(caller, 50);
      const target = rig.sidecars.get(findServingSidecar(rig, caller))!;
      rig.network.stall(target.address);
      await rig.clock.advance(6_000);
      rig.network.heal(target.address);
      await advanceUntilEnded(caller);
      expect(caller.end.kind).toBe('complete');
    });

    it('stalls permanently with the socket open: the stream fails', async () => {
      const caller = rig.generate('entry-1', {outputTokens: 2_000});
      await advanceUntilTokens(caller, 50);
      rig.network.stall(
        rig.sidecars.get(findServingSidecar(rig, caller))!.address,
      );
      const stalledMs = rig.clock.nowMs();
      await advanceUntilEnded(caller);
      expect(caller.end).toMatchObject({failure: {kind: 'linkLost'}});
      expect(caller.endedMs - stalledMs).toBeLessThan(20_000);
    });

    it.each([LinkWay.TO_SIDECAR, LinkWay.TO_ENTRY])(
      'stalls in direction %s only: no token is lost or duplicated',
      async (way) => {
        const caller = rig.generate('entry-1', {outputTokens: 1_500});
        await advanceUntilTokens(caller, 50);
        const target = rig.sidecars.get(findServingSidecar(rig, caller))!;
        rig.network.stall(target.address, [way]);
        await rig.clock.advance(7_000);
        rig.network.heal(target.address);
        await advanceUntilEnded(caller);
        expect(caller.end.kind).toBe('complete');
      },
    );

    it('delivers messages twice: no token is duplicated', async () => {
      const callers = [1, 2, 3].map(() =>
        rig.generate('entry-1', {outputTokens: 200}),
      );
      await advanceUntilTokens(callers[0]!, 20);
      for (const {address} of rig.sidecars.values()) {
        rig.network.duplicate(address);
      }
      await advanceUntilEnded(...callers);
      expect(callers.map(({end}) => end.kind)).not.toContain('open');
    });

    it('is cut permanently: the stream ends with an error', async () => {
      const caller = rig.generate('entry-1', {outputTokens: 2_000});
      await advanceUntilTokens(caller, 50);
      rig.network.cut(
        rig.sidecars.get(findServingSidecar(rig, caller))!.address,
      );
      await advanceUntilEnded(caller);
      expect(caller.end).toMatchObject({
        kind: 'failed',
        failure: {kind: 'linkLost', verdict: 'mayHaveRun'},
      });
    });

    it('is cut before the first token: another endpoint serves the request', async () => {
      const caller = rig.generate('entry-1', {
        outputTokens: 30,
        promptTokens: 4_000,
      });
      await rig.clock.advance(20);
      rig.network.cut(
        rig.sidecars.get(findServingSidecar(rig, caller))!.address,
      );
      await advanceUntilEnded(caller);
      expect(caller.end.kind).toBe('complete');
    });
  });

  it('gets only its own tokens when many callers share a link', async () => {
    const callers = Array.from({length: 60}, (_, index) =>
      rig.generate('entry-1', {outputTokens: 3 + ((index * 37) % 90)}),
    );
    await advanceUntilEnded(...callers);
    expect(new Set(callers.map(({end}) => end.kind))).toEqual(
      new Set(['complete']),
    );
  });

  it('delivers no late tokens once its caller has disconnected', async () => {
    const caller = rig.generate('entry-1', {outputTokens: 2_000});
    await advanceUntilTokens(caller, 50);
    const target = rig.sidecars.get(findServingSidecar(rig, caller))!;
    rig.network.stall(target.address, [LinkWay.TO_ENTRY]);
    await rig.clock.advance(200);
    caller.disconnect();
    const receivedCount = caller.texts.length;
    rig.network.heal(target.address);
    const next = rig.generate('entry-1', {outputTokens: 100});
    await advanceUntilEnded(next);
    expect(next.end.kind).toBe('complete');
    expect(caller.texts).toHaveLength(receivedCount);
  });

  it('continues at a new entry when both entries are killed and the caller resumes', async () => {
    const caller = rig.generate('entry-1', {outputTokens: 900});
    await advanceUntilTokens(caller, 50);
    rig.killEntry('entry-1');
    rig.killEntry('entry-2');
    rig.addEntry('entry-3', 'calamba');
    await rig.clock.advance(4_000);
    rig.resume('entry-3', caller);
    await advanceUntilEnded(caller);
    expect(caller.end.kind).toBe('complete');
  });

  describe('the sidecar', () => {
    it('is killed in mid-stream: the stream fails', async () => {
      const caller = rig.generate('entry-1', {outputTokens: 500});
      await advanceUntilTokens(caller, 50);
      rig.killSidecar(findServingSidecar(rig, caller));
      await advanceUntilEnded(caller);
      expect(caller.end.kind).toBe('failed');
    });

    it('is killed and restarted: it does not know the generation, and the stream fails', async () => {
      const caller = rig.generate('entry-1', {outputTokens: 500});
      await advanceUntilTokens(caller, 50);
      const id = findServingSidecar(rig, caller);
      rig.killSidecar(id);
      rig.restartSidecar(id);
      await advanceUntilEnded(caller);
      expect(caller.end).toMatchObject({
        kind: 'failed',
        failure: {verdict: 'mayHaveRun'},
      });
    });
  });

  describe('the entry', () => {
    it('is killed: the caller resumes at the other one', async () => {
      const caller = rig.generate('entry-1', {outputTokens: 500});
      await advanceUntilTokens(caller, 50);
      rig.killEntry('entry-1');
      await rig.clock.advance(500);
      rig.resume('entry-2', caller);
      await advanceUntilEnded(caller);
      expect(caller.end.kind).toBe('complete');
    });

    it('still streams while the caller resumes at the other one: the older stream is superseded', async () => {
      const caller = rig.generate('entry-1', {outputTokens: 500});
      await advanceUntilTokens(caller, 50);
      const other = {...caller, texts: [...caller.texts], ends: 0};
      rig.callers.push(other);
      rig.resume('entry-2', other);
      await advanceUntilEnded(caller, other);
      expect(other.end.kind).toBe('complete');
      expect(caller.end).toMatchObject({failure: {kind: 'superseded'}});
    });
  });

  it('cannot be resumed by another organisation', async () => {
    const caller = rig.generate('entry-1', {outputTokens: 500});
    await advanceUntilTokens(caller, 50);
    const otherCaller = {
      ...caller,
      organisation: 'calamba-yard',
      texts: [],
      ends: 0,
    };
    rig.resume('entry-2', otherCaller);
    await rig.clock.advanceUntil(() => otherCaller.end.kind === 'failed');
    expect(otherCaller.end).toMatchObject({
      failure: {kind: 'resumeRefused', verdict: 'notRun'},
    });
    expect(otherCaller.texts).toEqual([]);
  });

  it('is cancelled when its caller does not resume within the grace time', async () => {
    const caller = rig.generate('entry-1', {outputTokens: 20_000});
    await advanceUntilTokens(caller, 50);
    const target = rig.sidecars.get(findServingSidecar(rig, caller))!;
    caller.disconnect();
    await rig.clock.advance(SIDECAR_SETTINGS.resumeGraceMs + 1_000);
    const producedBefore = target.engine!.counters.producedTokens;
    await rig.clock.advance(5_000);
    expect(target.engine!.counters.producedTokens).toBe(producedBefore);
    expect(target.sidecar.load().running).toBe(0);
  });
});
