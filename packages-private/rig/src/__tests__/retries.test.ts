import {describe, expect, it} from 'vitest';
import {checkRun, Rig, rigConfig} from '../index.js';

const ENGINES = ['engine-1', 'engine-2', 'engine-3', 'engine-4'];
const REQUESTS = 600;

/** Upper bound of attempts at failing engines per request of a caller. */
const MAX_AMPLIFICATION = 1.2;

describe('retries', () => {
  it('stay within their budget when all engines fail', async () => {
    const rig = new Rig({seed: 2});
    for (const id of ENGINES) rig.addEngine(id, 'drafting-llm', 'calamba');
    rig.addEntry('entry-1', 'calamba');
    rig.addEntry('entry-2', 'clark');
    await rig.applyConfig(rigConfig());
    await rig.settle();
    const engines = ENGINES.map((id) => rig.sidecars.get(id)!.engine!);
    for (const engine of engines) engine.crash();
    for (let index = 0; index < REQUESTS; index++) {
      rig.generate(`entry-${1 + (index % 2)}`, {outputTokens: 5});
      await rig.clock.advance(20);
    }
    await rig.clock.advanceUntil(() =>
      rig.callers.every((caller) => caller.end.kind === 'failed'),
    );
    const attempts = engines.reduce(
      (sum, engine) => sum + engine.attemptCount,
      0,
    );
    expect(attempts).toBeGreaterThan(REQUESTS);
    expect(attempts / REQUESTS).toBeLessThan(MAX_AMPLIFICATION);
    expect(checkRun(rig)).toEqual([]);
    const retryDelaysMs = rig.callers.map(
      ({end}) => end.kind === 'failed' && end.failure.retryAfterMs,
    );
    expect(retryDelaysMs.every((delayMs) => Number(delayMs) > 0)).toBe(true);
  });

  it('do not delay the refusal of a request that cannot start within its maximum wait', async () => {
    const rig = new Rig({seed: 2});
    rig.addEngine('engine-1', 'drafting-llm', 'calamba', {memoryTokens: 2_000});
    rig.addEntry('entry-1', 'calamba');
    await rig.applyConfig(rigConfig());
    await rig.settle();
    for (let index = 0; index < 80; index++) {
      rig.generate('entry-1', {outputTokens: 400});
      await rig.clock.advance(100);
    }
    const sentMs = rig.clock.nowMs();
    const late = rig.generate('entry-1', {outputTokens: 5, maxQueueMs: 1});
    await rig.clock.advanceUntil(() => late.end.kind !== 'open');
    expect(late.endedMs - sentMs).toBeLessThan(50);
    expect(late.end).toMatchObject({
      failure: {kind: 'overloaded', verdict: 'notRun'},
    });
    expect(checkRun(rig)).toEqual([]);
  });
});
