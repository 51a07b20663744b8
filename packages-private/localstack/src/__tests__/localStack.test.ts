import {describe, expect, it} from 'vitest';
import {LocalStack} from '../index.js';

describe('a local stack', () => {
  it('leaves no process running when one of several fails to start', async () => {
    const stack = new LocalStack();
    await stack.startPlatform();
    const {platformUrl} = stack;
    const starts = [
      stack.startEngineSidecar('engine-1', 'llm', 'clark'),
      // Fails the validation of its settings.
      stack.startPlainSidecar('home-1', 'desk', 'clark', {slotRoundMs: -1}),
    ];
    await expect(Promise.all(starts)).rejects.toThrow('slotRoundMs');
    await stack.stop();
    const started = await Promise.allSettled(starts);
    await stack.ended();
    expect(started.map(({status}) => status)).toContain('rejected');
    await expect(fetch(`${platformUrl}/counters`)).rejects.toThrow();
    expect(stack.runningCount).toBe(0);
  });
});
