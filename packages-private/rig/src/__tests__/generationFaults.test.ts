import {LinkWay} from '@lilacledge/protocol';
import {beforeEach, describe, expect, it} from 'vitest';
import {checkRun, Rig, rigConfig} from '../index.js';
import type {Caller} from '../index.js';

const EXTRA = {resumeGraceMs: 10_000};

/** Two entries before three engines, with a configuration in force. */
async function createFleet(): Promise<Rig> {
  const rig = new Rig({seed: 7});
  for (const index of [1, 2, 3]) {
    rig.addEngine(`engine-${index}`, 'drafting-llm', 'calamba', {}, EXTRA);
  }
  rig.addEntry('entry-1', 'calamba');
  rig.addEntry('entry-2', 'clark');
  await rig.applyConfig(rigConfig());
  await rig.settle();
  return rig;
}

function servedBy(rig: Rig, caller: Caller): string {
  for (const [id, {engine}] of rig.sidecars) {
    for (const prompt of engine?.prompts.values() ?? []) {
      if (prompt === caller.prompt) return id;
    }
  }
  throw new Error('not served');
}

describe('generations under failure', () => {
  let rig: Rig;

  beforeEach(async () => {
    rig = await createFleet();
  });

  async function untilTokens(caller: Caller, count: number): Promise<void> {
    await rig.clock.advanceUntil(() => caller.texts.length >= count);
  }

  async function untilEnded(...callers: Caller[]): Promise<void> {
    await rig.clock.advanceUntil(() =>
      callers.every((caller) => caller.end.kind !== 'open'),
    );
    expect(checkRun(rig)).toEqual([]);
  }

  it('serves a request and counts it as closed afterwards', async () => {
    const caller = rig.ask('entry-1', {outputTokens: 30});
    await untilEnded(caller);
    expect(caller.end.kind).toBe('complete');
    expect(rig.entries.get('entry-1')!.entry.openRequests).toBe(0);
  });

  describe('the engine', () => {
    it('dies before the first token: another one answers', async () => {
      const caller = rig.ask('entry-1', {outputTokens: 30});
      await rig.clock.advanceUntil(() => {
        try {
          return servedBy(rig, caller) !== '';
        } catch {
          return false;
        }
      });
      const first = servedBy(rig, caller);
      rig.sidecars.get(first)!.engine!.die();
      await untilEnded(caller);
      expect(caller.end.kind).toBe('complete');
    });

    it.each([1, 29])(
      'dies after %i tokens: the stream ends at once with an error',
      async (count) => {
        const caller = rig.ask('entry-1', {outputTokens: 30});
        await untilTokens(caller, count);
        const diedMs = rig.clock.nowMs();
        rig.sidecars.get(servedBy(rig, caller))!.engine!.die();
        await untilEnded(caller);
        expect(caller.end).toMatchObject({
          kind: 'failed',
          failure: {verdict: 'mayHaveRun'},
        });
        expect(caller.endedMs - diedMs).toBeLessThan(50);
        expect(
          caller.end.kind === 'failed' && caller.end.failure.retryAfterMs,
        ).toBeGreaterThan(0);
      },
    );

    it('freezes with its sockets open: the stream ends after the limit', async () => {
      const caller = rig.ask('entry-1', {outputTokens: 30});
      await untilTokens(caller, 5);
      rig.sidecars.get(servedBy(rig, caller))!.engine!.isFrozen = true;
      await untilEnded(caller);
      expect(caller.end.kind).toBe('failed');
    });
  });

  describe('the link', () => {
    it('ends in mid-stream: the same generation goes on', async () => {
      const caller = rig.ask('entry-1', {outputTokens: 200});
      await untilTokens(caller, 50);
      const target = rig.sidecars.get(servedBy(rig, caller))!;
      rig.network.endLinks(target.address);
      await untilEnded(caller);
      expect(caller.end.kind).toBe('complete');
      expect(target.engine!.counters.started).toBe(1);
    });

    it('ends twice in mid-stream: the same generation goes on', async () => {
      const caller = rig.ask('entry-1', {outputTokens: 400});
      for (const count of [50, 150]) {
        await untilTokens(caller, count);
        const target = rig.sidecars.get(servedBy(rig, caller))!;
        rig.network.endLinks(target.address);
      }
      await untilEnded(caller);
      expect(caller.end.kind).toBe('complete');
    });

    it('stalls with the socket open and comes back', async () => {
      const caller = rig.ask('entry-1', {outputTokens: 2_000});
      await untilTokens(caller, 50);
      const target = rig.sidecars.get(servedBy(rig, caller))!;
      rig.network.stall(target.address);
      await rig.clock.advance(6_000);
      rig.network.heal(target.address);
      await untilEnded(caller);
      expect(caller.end.kind).toBe('complete');
    });

    it('stalls for good with the socket open: the stream ends', async () => {
      const caller = rig.ask('entry-1', {outputTokens: 2_000});
      await untilTokens(caller, 50);
      rig.network.stall(rig.sidecars.get(servedBy(rig, caller))!.address);
      const stalledMs = rig.clock.nowMs();
      await untilEnded(caller);
      expect(caller.end).toMatchObject({failure: {kind: 'linkLost'}});
      expect(caller.endedMs - stalledMs).toBeLessThan(20_000);
    });

    it.each([LinkWay.THERE, LinkWay.BACK])(
      'is dumb on the way %s only: nothing is lost or doubled',
      async (way) => {
        const caller = rig.ask('entry-1', {outputTokens: 1_500});
        await untilTokens(caller, 50);
        const target = rig.sidecars.get(servedBy(rig, caller))!;
        rig.network.stall(target.address, [way]);
        await rig.clock.advance(7_000);
        rig.network.heal(target.address);
        await untilEnded(caller);
        expect(caller.end.kind).toBe('complete');
      },
    );

    it('delivers messages twice: no token is doubled', async () => {
      const callers = [1, 2, 3].map(() =>
        rig.ask('entry-1', {outputTokens: 200}),
      );
      await untilTokens(callers[0]!, 20);
      for (const {address} of rig.sidecars.values()) {
        rig.network.duplicate(address);
      }
      await untilEnded(...callers);
      expect(callers.map(({end}) => end.kind)).not.toContain('open');
    });

    it('is cut for good: the stream ends with an error', async () => {
      const caller = rig.ask('entry-1', {outputTokens: 2_000});
      await untilTokens(caller, 50);
      rig.network.cut(rig.sidecars.get(servedBy(rig, caller))!.address);
      await untilEnded(caller);
      expect(caller.end).toMatchObject({
        kind: 'failed',
        failure: {kind: 'linkLost', verdict: 'mayHaveRun'},
      });
    });

    it('is cut before the first token: another endpoint answers', async () => {
      const caller = rig.ask('entry-1', {
        outputTokens: 30,
        promptTokens: 4_000,
      });
      await rig.clock.advance(20);
      rig.network.cut(rig.sidecars.get(servedBy(rig, caller))!.address);
      await untilEnded(caller);
      expect(caller.end.kind).toBe('complete');
    });
  });

  it('keeps the answers of many callers on one link apart', async () => {
    const callers = Array.from({length: 60}, (_, index) =>
      rig.ask('entry-1', {outputTokens: 3 + ((index * 37) % 90)}),
    );
    await untilEnded(...callers);
    expect(new Set(callers.map(({end}) => end.kind))).toEqual(
      new Set(['complete']),
    );
  });

  it('drops late tokens of a generation that was cancelled', async () => {
    const caller = rig.ask('entry-1', {outputTokens: 2_000});
    await untilTokens(caller, 50);
    const target = rig.sidecars.get(servedBy(rig, caller))!;
    rig.network.stall(target.address, [LinkWay.BACK]);
    await rig.clock.advance(200);
    caller.leave();
    const had = caller.texts.length;
    rig.network.heal(target.address);
    const next = rig.ask('entry-1', {outputTokens: 100});
    await untilEnded(next);
    expect(next.end.kind).toBe('complete');
    expect(caller.texts).toHaveLength(had);
  });

  it('survives both entries dying, for a caller that comes back', async () => {
    const caller = rig.ask('entry-1', {outputTokens: 900});
    await untilTokens(caller, 50);
    rig.killEntry('entry-1');
    rig.killEntry('entry-2');
    rig.addEntry('entry-3', 'calamba');
    await rig.clock.advance(4_000);
    rig.resume('entry-3', caller);
    await untilEnded(caller);
    expect(caller.end.kind).toBe('complete');
  });

  describe('the sidecar', () => {
    it('dies in mid-stream: the stream ends, never as complete', async () => {
      const caller = rig.ask('entry-1', {outputTokens: 500});
      await untilTokens(caller, 50);
      rig.killSidecar(servedBy(rig, caller));
      await untilEnded(caller);
      expect(caller.end.kind).toBe('failed');
    });

    it('dies and comes back: the new one does not know the generation', async () => {
      const caller = rig.ask('entry-1', {outputTokens: 500});
      await untilTokens(caller, 50);
      const id = servedBy(rig, caller);
      rig.killSidecar(id);
      rig.restartSidecar(id);
      await untilEnded(caller);
      expect(caller.end).toMatchObject({
        kind: 'failed',
        failure: {verdict: 'mayHaveRun'},
      });
    });
  });

  describe('the entry', () => {
    it('dies: the caller goes on at the other one', async () => {
      const caller = rig.ask('entry-1', {outputTokens: 500});
      await untilTokens(caller, 50);
      rig.killEntry('entry-1');
      await rig.clock.advance(500);
      rig.resume('entry-2', caller);
      await untilEnded(caller);
      expect(caller.end.kind).toBe('complete');
    });

    it('still writes while the caller is back at the other one', async () => {
      const caller = rig.ask('entry-1', {outputTokens: 500});
      await untilTokens(caller, 50);
      const other = {...caller, texts: [...caller.texts], ends: 0};
      rig.callers.push(other);
      rig.resume('entry-2', other);
      await untilEnded(caller, other);
      expect(other.end.kind).toBe('complete');
      expect(caller.end).toMatchObject({failure: {kind: 'superseded'}});
    });
  });

  it('refuses a resume by another organisation', async () => {
    const caller = rig.ask('entry-1', {outputTokens: 500});
    await untilTokens(caller, 50);
    const thief = {...caller, organisation: 'calamba-yard', texts: [], ends: 0};
    rig.resume('entry-2', thief);
    await rig.clock.advanceUntil(() => thief.end.kind === 'failed');
    expect(thief.end).toMatchObject({
      failure: {kind: 'resumeRefused', verdict: 'notRun'},
    });
    expect(thief.texts).toEqual([]);
  });

  it('cancels a generation that nobody comes back for', async () => {
    const caller = rig.ask('entry-1', {outputTokens: 20_000});
    await untilTokens(caller, 50);
    const target = rig.sidecars.get(servedBy(rig, caller))!;
    caller.leave();
    await rig.clock.advance(EXTRA.resumeGraceMs + 1_000);
    const produced = target.engine!.counters.producedTokens;
    await rig.clock.advance(5_000);
    expect(target.engine!.counters.producedTokens).toBe(produced);
    expect(target.sidecar.load().running).toBe(0);
  });
});
