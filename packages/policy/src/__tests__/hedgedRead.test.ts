import {VirtualClock} from '@lilacledge/shared';
import {beforeEach, describe, expect, it} from 'vitest';
import {hedgeRead} from '../hedgedRead.js';

const SETTINGS = {afterMs: 300, mostOpen: 4};
const READ_TIMEOUT_MS = 1_500;

/** A store that is silent until a moment and answers in 4 ms from then on. */
class SilentStore {
  reads = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly returnsAtMs: number,
  ) {}

  read(): Promise<string> {
    this.reads++;
    const isSilent = this.clock.nowMs() < this.returnsAtMs;
    const delayMs = isSilent ? READ_TIMEOUT_MS : 4;
    return new Promise((resolve) => {
      this.clock.after(delayMs, () => resolve(isSilent ? 'timeout' : 'page'));
    });
  }
}

let clock: VirtualClock;

beforeEach(() => {
  clock = new VirtualClock();
});

async function readAt(store: SilentStore): Promise<{
  result: string;
  atMs: number;
}> {
  let result: string | undefined;
  const isPage = (reply: string): boolean => reply === 'page';
  void hedgeRead(() => store.read(), isPage, SETTINGS, clock).then((reply) => {
    result = reply;
  });
  await clock.advanceUntil(() => result !== undefined);
  return {result: result!, atMs: clock.nowMs()};
}

describe('hedgeRead', () => {
  it('has the page soon after a silent store is back', async () => {
    const {result, atMs} = await readAt(new SilentStore(clock, 250));
    expect(result).toBe('page');
    expect(atMs).toBeLessThan(320);
  });

  it('asks once where the answer comes in time', async () => {
    const store = new SilentStore(clock, 0);
    expect((await readAt(store)).result).toBe('page');
    await clock.advance(2_000);
    expect(store.reads).toBe(1);
  });

  it('fails with the last read, and bounds those that are open', async () => {
    const store = new SilentStore(clock, Infinity);
    const {result, atMs} = await readAt(store);
    expect(result).toBe('timeout');
    expect(store.reads).toBe(SETTINGS.mostOpen);
    expect(atMs).toBe(3 * SETTINGS.afterMs + READ_TIMEOUT_MS);
  });

  it('fails at once where the first read fails before the next is due', async () => {
    let result: string | undefined;
    const refused = (): Promise<string> => Promise.resolve('refused');
    void hedgeRead(refused, () => false, SETTINGS, clock).then((reply) => {
      result = reply;
    });
    await clock.advanceUntil(() => result !== undefined);
    expect(clock.nowMs()).toBe(0);
  });
});
