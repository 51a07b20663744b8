import {VirtualClock} from '@lilacledge/shared';
import {describe, expect, it} from 'vitest';
import {ConfigCache} from '../configCache.js';

/** Counts the requests that answer an offer of a newer revision each 250 ms. */
async function countRequests(forMs: number): Promise<number> {
  const clock = new VirtualClock();
  const cache = new ConfigCache(clock);
  let requests = 0;
  for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += 250) {
    if (cache.answerOffer(7)?.type === 'configRequest') requests++;
    await clock.advance(250);
  }
  return requests;
}

// Guards against congestion collapse on a narrow link: transfers that share it and that are
// each the reason for the next, as a slow one counts as missing.
describe('ConfigCache', () => {
  it('requests few transfers while none of them is complete', async () => {
    expect(await countRequests(15_000)).toBeLessThanOrEqual(4);
  });

  it('requests another one a second after the first', async () => {
    expect(await countRequests(1_500)).toBe(2);
  });
});
