import {VirtualClock} from '@lilacledge/shared';
import {beforeEach, describe, expect, it} from 'vitest';
import {silentLog} from '../../log/boundedLog.js';
import type {MetadataStore, StorePage, StoreReply} from '../../ports.js';
import {StoreMirror} from '../storeMirror.js';

const READ_TIMEOUT_MS = 1_500;

let clock: VirtualClock;

beforeEach(() => {
  clock = new VirtualClock();
});

/** A store whose calls before `returnsAtMs` are never answered. */
function silentUntil(returnsAtMs: number): MetadataStore {
  const page: StorePage = {items: [], hasMore: false, revision: 7};
  return {
    list(): Promise<StoreReply<StorePage>> {
      const isSilent = clock.nowMs() < returnsAtMs;
      return new Promise((resolve) => {
        clock.after(isSilent ? READ_TIMEOUT_MS : 4, () => {
          resolve(
            isSilent
              ? {kind: 'unanswered', detail: 'no answer'}
              : {kind: 'ok', value: page},
          );
        });
      });
    },
    watch: () => new Promise(() => {}),
  } as Partial<MetadataStore> as MetadataStore;
}

describe('a mirror that starts while the store is silent', () => {
  it('is in step soon after the return, not after a timeout', async () => {
    let isSynced = false;
    const listener = {
      written: () => {},
      deleted: () => {},
      synced: () => {
        isSynced = true;
      },
      lost: () => {},
    };
    const mirror = new StoreMirror(
      'servers/',
      silentUntil(230),
      listener,
      clock,
      () => 0.5,
      silentLog,
      {waitMs: 25_000, gatherMs: 600},
    );
    const stopped = new AbortController();
    void mirror.run(stopped.signal);
    await clock.advanceUntil(() => isSynced);
    expect(clock.nowMs()).toBeLessThan(320);
    stopped.abort();
  });
});
