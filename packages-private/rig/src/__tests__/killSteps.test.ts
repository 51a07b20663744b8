import {describe, expect, it} from 'vitest';
import {checkRun, Rig, rigConfig} from '../index.js';

/** A request is killed at each of these times after it was sent. */
const STEPS_MS = Array.from({length: 36}, (_, index) => index * 0.5);

const EXTRA = {slotGrantMs: 60_000, slotRoundMs: 500, keySkewMs: 0};

async function createFleet(): Promise<Rig> {
  const rig = new Rig({seed: 23});
  rig.addEngine('engine-1', 'drafting-llm', 'calamba');
  rig.addEngine('engine-2', 'drafting-llm', 'calamba');
  rig.addPlain('home-1', 'booking-api', 'calamba', EXTRA).plain!.delayMs = 8;
  rig.addEntry('entry-1', 'calamba');
  rig.addEntry('entry-2', 'clark');
  await rig.applyConfig(rigConfig());
  await rig.settle(6_000);
  return rig;
}

describe('a process is killed at each step of a request', () => {
  it.each(['engine-1', 'engine-2'])(
    'the sidecar of %s: one answer, and its verdict is true',
    async (id) => {
      for (const stepMs of STEPS_MS) {
        const rig = await createFleet();
        const caller = rig.ask('entry-1', {outputTokens: 3});
        await rig.clock.advance(stepMs);
        rig.killSidecar(id);
        await rig.clock.advanceUntil(() => caller.end.kind !== 'open');
        expect(checkRun(rig), `at ${stepMs} ms`).toEqual([]);
        expect(caller.ends).toBe(1);
      }
    },
  );

  it('the home of a booking: one answer, at most one run', async () => {
    const verdicts = new Set<string>();
    for (const stepMs of STEPS_MS) {
      const rig = await createFleet();
      const key = rig.mintKey();
      const caller = rig.call('entry-1', {key});
      await rig.clock.advance(stepMs);
      rig.killSidecar('home-1');
      rig.restartSidecar('home-1');
      await rig.clock.advanceUntil(() => caller.answers.length > 0);
      await rig.settle(5_000);
      const again = rig.call('entry-2', {key});
      await rig.clock.advanceUntil(() => again.answers.length > 0);
      expect(checkRun(rig), `at ${stepMs} ms`).toEqual([]);
      const answer = caller.answers[0]!;
      const isAnswered = answer.kind === 'answered';
      verdicts.add(isAnswered ? 'answered' : answer.failure.verdict);
    }
    expect(verdicts).toContain('mayHaveRun');
    expect(verdicts).toContain('answered');
  });

  it('the entry: whatever ran, ran once, also when the caller asks again', async () => {
    for (const stepMs of STEPS_MS) {
      const rig = await createFleet();
      const key = rig.mintKey();
      rig.call('entry-1', {key});
      await rig.clock.advance(stepMs);
      rig.killEntry('entry-1');
      const again = rig.call('entry-2', {key});
      await rig.clock.advanceUntil(() => again.answers.length > 0);
      expect(checkRun(rig), `at ${stepMs} ms`).toEqual([]);
      expect(again.answers[0]!.kind).toBe('answered');
    }
  });
});
