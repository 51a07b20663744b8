import {VirtualClock} from '@lilacledge/shared';
import {beforeEach, describe, expect, it} from 'vitest';
import {hedgeRead} from '../hedgedRead.js';

const SETTINGS = {afterMs: 300, maxReads: 4};
const READ_TIMEOUT_MS = 1_500;

/** A store that times out until `returnsAtMs` and then responds within 4 ms. */
class UnresponsiveStore {
  reads = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly returnsAtMs: number,
  ) {}

  read(): Promise<string> {
    this.reads++;
    const isUnresponsive = this.clock.nowMs() < this.returnsAtMs;
    const delayMs = isUnresponsive ? READ_TIMEOUT_MS : 4;
    return new Promise((resolve) => {
      this.clock.after(delayMs, () =>
        resolve(isUnresponsive ? 'timeout' : 'page'),
      );
    });
  }
}

let clock: VirtualClock;

beforeEach(() => {
  clock = new VirtualClock();
});

async function readAt(store: UnresponsiveStore): Promise<{
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
  it('returns the page soon after an unresponsive store has recovered', async () => {
    const {result, atMs} = await readAt(new UnresponsiveStore(clock, 250));
    expect(result).toBe('page');
    expect(atMs).toBeLessThan(320);
  });

  it('reads once if the response comes in time', async () => {
    const store = new UnresponsiveStore(clock, 0);
    expect((await readAt(store)).result).toBe('page');
    await clock.advance(2_000);
    expect(store.reads).toBe(1);
  });

  // Guards against copies of one large response that share a narrow link.
  it('ends the other reads once a response has started', async () => {
    const ended: number[] = [];
    const starts: Array<() => void> = [];
    const read = (
      onResponseStarted: () => void,
      signal: AbortSignal,
    ): Promise<string> => {
      const place = starts.push(onResponseStarted) - 1;
      return new Promise((resolve) => {
        signal.addEventListener('abort', () => {
          ended.push(place);
          resolve('aborted');
        });
      });
    };
    void hedgeRead(read, (reply) => reply === 'page', SETTINGS, clock);
    await clock.advance(2.5 * SETTINGS.afterMs);
    expect(starts).toHaveLength(3);
    starts[1]!();
    await clock.advance(2 * SETTINGS.afterMs);
    expect(ended).toEqual([0, 2]);
  });

  it('fails with the last read and limits the number of reads', async () => {
    const store = new UnresponsiveStore(clock, Infinity);
    const {result, atMs} = await readAt(store);
    expect(result).toBe('timeout');
    expect(store.reads).toBe(SETTINGS.maxReads);
    expect(atMs).toBe(3 * SETTINGS.afterMs + READ_TIMEOUT_MS);
  });

  it('fails immediately if the first read fails before the next is due', async () => {
    let result: string | undefined;
    const refused = (): Promise<string> => Promise.resolve('refused');
    void hedgeRead(refused, () => false, SETTINGS, clock).then((reply) => {
      result = reply;
    });
    await clock.advanceUntil(() => result !== undefined);
    expect(clock.nowMs()).toBe(0);
  });
});
