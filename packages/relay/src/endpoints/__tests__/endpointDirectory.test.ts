import {VirtualClock} from '@lilacledge/shared';
import {beforeEach, describe, expect, it} from 'vitest';
import {silentLog} from '../../log/boundedLog.js';
import {testRecord} from '../../__tests__/testRecord.js';
import {EndpointDirectory} from '../endpointDirectory.js';

let directory: EndpointDirectory;
let reported: string[];

beforeEach(() => {
  directory = new EndpointDirectory(new VirtualClock(), silentLog);
  reported = [];
  directory.onDoubtToReport(({id}) => reported.push(id));
  for (const [index, id] of ['a', 'b', 'c'].entries()) {
    const address = {host: '10.0.0.1', port: 80 + index};
    directory.upsert(testRecord({id, address}), index + 1);
  }
});

function resetTwice(id: string): void {
  directory.get(id)!.health.noteNoResponse(0, true);
  directory.get(id)!.health.noteNoResponse(0, true);
}

describe('EndpointDirectory', () => {
  describe('reporting doubts to other entries', () => {
    it('reports an endpoint that resets connections', () => {
      resetTwice('a');
      expect(reported).toEqual(['a']);
    });

    it('forwards a doubt received from a peer', () => {
      directory.get('a')!.health.applyPeerDoubt(0, 1_500);
      expect(reported).toEqual(['a']);
    });

    it('does not report missing responses, as only its own network path may be broken', () => {
      directory.get('a')!.health.noteNoResponse(0, false);
      directory.get('a')!.health.noteNoResponse(0, false);
      expect(reported).toEqual([]);
    });

    it('does not report errors, as they cluster by chance', () => {
      for (let call = 0; call < 4; call++) {
        directory.get('a')!.health.noteFailure(0);
      }
      expect(directory.get('a')!.health.isDoubted(0)).toBe(true);
      expect(reported).toEqual([]);
    });

    it('stops reporting when it doubts most endpoints of a service', () => {
      resetTwice('a');
      resetTwice('b');
      resetTwice('c');
      expect(reported).toEqual(['a']);
    });
  });

  describe('a registration that is removed after an outage of the store', () => {
    let clock: VirtualClock;

    beforeEach(() => {
      clock = new VirtualClock();
      directory = new EndpointDirectory(clock, silentLog);
      directory.upsert(testRecord(), 1);
      directory.noteStoreAvailable({atMs: 0, lastFailedMs: 0}, 3_000);
    });

    /** Time after the removal for which the endpoint may get work. */
    async function workMsAfterRemoval(): Promise<number> {
      const startMs = clock.nowMs();
      directory.remove('a');
      while (directory.get('a')?.mayGetWork(clock.nowMs(), 2_000) === true) {
        await clock.advance(10);
      }
      return clock.nowMs() - startMs;
    }

    it.each([500, 1_000, 2_000, 2_400, 2_900, 5_000])(
      'allows work for at most two seconds if it is removed %d ms after the outage',
      async (afterMs) => {
        await clock.advance(afterMs);
        expect(await workMsAfterRemoval()).toBeLessThanOrEqual(2_000);
      },
    );

    it('is kept until it may be renewed if it is missing right after the outage', async () => {
      await clock.advance(10);
      expect(await workMsAfterRemoval()).toBeGreaterThan(2_000);
    });
  });
});
