import {describe, expect, it} from 'vitest';
import {LoopMeter} from '../loopMeter.js';

function spinFor(durationMs: number): void {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
}

function idleFor(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** Repeats a blocking task of this length for 400 ms, with these pauses. */
async function run(taskMs: number, pauseMs: number): Promise<void> {
  const endMs = performance.now() + 400;
  while (performance.now() < endMs) {
    spinFor(taskMs);
    if (pauseMs > 0) await idleFor(pauseMs);
    else await new Promise((resolve) => setImmediate(resolve));
  }
}

describe('LoopMeter', () => {
  it('tells an idle loop from a saturated one', async () => {
    const meter = new LoopMeter();
    await idleFor(200);
    expect(meter.read().utilisation).toBeLessThan(0.5);
    await run(20, 0);
    const {utilisation, iterationMs} = meter.read();
    expect(utilisation).toBeGreaterThan(0.9);
    expect(iterationMs).toBeGreaterThan(10);
  });

  it('reads only what happened since the last reading', async () => {
    const meter = new LoopMeter();
    await run(20, 0);
    meter.read();
    await idleFor(200);
    const {utilisation, forMs} = meter.read();
    expect(utilisation).toBeLessThan(0.5);
    expect(forMs).toBeGreaterThan(150);
    expect(forMs).toBeLessThan(1_000);
  });
});
