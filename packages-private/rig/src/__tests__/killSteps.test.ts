import {describe, expect, it} from 'vitest';
import {checkRun, Rig, rigConfig} from '../index.js';

/** A process is killed at each of these times after the request was sent. */
const KILL_TIMES_MS = Array.from({length: 36}, (_, index) => index * 0.5);

const SLOT_SETTINGS = {slotGrantMs: 60_000, slotRoundMs: 500, keySkewMs: 0};

async function createFleet(): Promise<Rig> {
  const rig = new Rig({seed: 23});
  rig.addEngine('engine-1', 'drafting-llm', 'calamba');
  rig.addEngine('engine-2', 'drafting-llm', 'calamba');
  rig.addPlain(
    'home-1',
    'booking-api',
    'calamba',
    SLOT_SETTINGS,
  ).plain!.delayMs = 8;
  rig.addEntry('entry-1', 'calamba');
  rig.addEntry('entry-2', 'clark');
  await rig.applyConfig(rigConfig());
  await rig.settle(6_000);
  return rig;
}

describe('a process is killed at any time during a request', () => {
  it.each(['engine-1', 'engine-2'])(
    'the sidecar of %s: the caller gets one answer with a correct verdict',
    async (id) => {
      for (const killMs of KILL_TIMES_MS) {
        const rig = await createFleet();
        const caller = rig.generate('entry-1', {outputTokens: 3});
        await rig.clock.advance(killMs);
        rig.killSidecar(id);
        await rig.clock.advanceUntil(() => caller.end.kind !== 'open');
        expect(checkRun(rig), `at ${killMs} ms`).toEqual([]);
        expect(caller.ends).toBe(1);
      }
    },
  );

  it('the sidecar that owns the key of a booking: one answer, at most one run', async () => {
    const verdicts = new Set<string>();
    for (const killMs of KILL_TIMES_MS) {
      const rig = await createFleet();
      const key = rig.mintKey();
      const caller = rig.call('entry-1', {key});
      await rig.clock.advance(killMs);
      rig.killSidecar('home-1');
      rig.restartSidecar('home-1');
      await rig.clock.advanceUntil(() => caller.answers.length > 0);
      await rig.settle(5_000);
      const retry = rig.call('entry-2', {key});
      await rig.clock.advanceUntil(() => retry.answers.length > 0);
      expect(checkRun(rig), `at ${killMs} ms`).toEqual([]);
      const answer = caller.answers[0]!;
      const isAnswered = answer.kind === 'answered';
      verdicts.add(isAnswered ? 'answered' : answer.failure.verdict);
    }
    expect(verdicts).toContain('mayHaveRun');
    expect(verdicts).toContain('answered');
  });

  it('the entry: a call that its caller retries at another entry runs at most once', async () => {
    for (const killMs of KILL_TIMES_MS) {
      const rig = await createFleet();
      const key = rig.mintKey();
      rig.call('entry-1', {key});
      await rig.clock.advance(killMs);
      rig.killEntry('entry-1');
      const retry = rig.call('entry-2', {key});
      await rig.clock.advanceUntil(() => retry.answers.length > 0);
      expect(checkRun(rig), `at ${killMs} ms`).toEqual([]);
      expect(retry.answers[0]!.kind).toBe('answered');
    }
  });
});
