import {VirtualClock} from '@lilacledge/shared';
import {beforeEach, describe, expect, it} from 'vitest';
import {silentLog} from '../../log/boundedLog.js';
import {testRecord} from '../../__tests__/testRecord.js';
import {EndpointDirectory} from '../endpointDirectory.js';

let directory: EndpointDirectory;
let told: string[];

beforeEach(() => {
  directory = new EndpointDirectory(new VirtualClock(), silentLog);
  told = [];
  directory.onDoubtToTell(({id}) => told.push(id));
  for (const [index, id] of ['a', 'b', 'c'].entries()) {
    const address = {host: '10.0.0.1', port: 80 + index};
    directory.upsert(testRecord({id, address}), index + 1);
  }
});

function resetTwice(id: string): void {
  directory.get(id)!.health.noteSilence(0, true);
  directory.get(id)!.health.noteSilence(0, true);
}

describe('EndpointDirectory', () => {
  describe('which doubts it tells other entries of', () => {
    it('tells of an endpoint that resets', () => {
      resetTwice('a');
      expect(told).toEqual(['a']);
    });

    it('passes on what a peer told', () => {
      directory.get('a')!.health.takeDoubt(0, 1_500);
      expect(told).toEqual(['a']);
    });

    it('keeps silence to itself: the way there may be cut', () => {
      directory.get('a')!.health.noteSilence(0, false);
      directory.get('a')!.health.noteSilence(0, false);
      expect(told).toEqual([]);
    });

    it('keeps errors to itself, which come in clusters by chance', () => {
      for (let call = 0; call < 4; call++) {
        directory.get('a')!.health.noteFailure(0);
      }
      expect(directory.get('a')!.health.isDoubted(0)).toBe(true);
      expect(told).toEqual([]);
    });

    it('tells of one only when it doubts most of a service', () => {
      resetTwice('a');
      resetTwice('b');
      resetTwice('c');
      expect(told).toEqual(['a']);
    });
  });

  describe('a registration that is removed after the store returned', () => {
    let clock: VirtualClock;

    beforeEach(() => {
      clock = new VirtualClock();
      directory = new EndpointDirectory(clock, silentLog);
      directory.upsert(testRecord(), 1);
      directory.noteStoreReturned({atMs: 0, lastFailedMs: 0}, 3_000);
    });

    /** Time after the removal in which the endpoint gets work. */
    async function workMsAfterRemoval(): Promise<number> {
      const startMs = clock.nowMs();
      directory.remove('a');
      while (directory.get('a')?.mayGetWork(clock.nowMs(), 2_000) === true) {
        await clock.advance(10);
      }
      return clock.nowMs() - startMs;
    }

    it.each([500, 1_000, 2_000, 2_400, 2_900, 5_000])(
      'gets no work for two seconds, if it comes %d ms after the return',
      async (afterMs) => {
        await clock.advance(afterMs);
        expect(await workMsAfterRemoval()).toBeLessThanOrEqual(2_000);
      },
    );

    it('is kept until it would be back, if it is missing at once', async () => {
      await clock.advance(10);
      expect(await workMsAfterRemoval()).toBeGreaterThan(2_000);
    });
  });
});
