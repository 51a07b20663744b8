import {VirtualClock} from '@lilacledge/shared';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {silentLog} from '../../log/boundedLog.js';
import type {
  MetadataStore,
  StoreChange,
  StoreChanges,
  StorePage,
  StoreReply,
} from '../../ports.js';
import {StoreMirror} from '../storeMirror.js';
import type {MirrorSection} from '../storeMirror.js';

const READ_TIMEOUT_MS = 1_500;

const AT_ONCE = {bytes: 0, tookMs: 0};

let clock: VirtualClock;

beforeEach(() => {
  clock = new VirtualClock();
});

/** A store whose calls before `returnsAtMs` are never answered. */
function silentUntil(returnsAtMs: number): MetadataStore {
  const page: StorePage = {
    items: [],
    hasMore: false,
    revision: 7,
    transfer: AT_ONCE,
  };
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
    const mirror = new StoreMirror({
      sections: [{prefix: 'servers/', written: () => {}, deleted: () => {}}],
      store: silentUntil(230),
      listener: {
        returned: () => {
          isSynced = true;
        },
        lost: () => {},
      },
      clock,
      random: () => 0.5,
      log: silentLog,
      pace: {waitMs: 25_000, gatherMs: 600},
    });
    const stopped = new AbortController();
    void mirror.run(stopped.signal);
    await clock.advanceUntil(() => isSynced);
    expect(clock.nowMs()).toBeLessThan(320);
    stopped.abort();
  });
});

describe('a mirror of several prefixes', () => {
  const GATHER_MS = 600;
  let told: string[];
  let watched: string[];
  let revision: number;
  let answers: Array<StoreReply<StoreChanges>>;
  let stopped: AbortController;

  beforeEach(() => {
    told = [];
    watched = [];
    revision = 1;
    answers = [];
    stopped = new AbortController();
  });

  afterEach(() => stopped.abort());

  function section(prefix: string): MirrorSection {
    return {
      prefix,
      written: ({key}) => told.push(`${prefix} has ${key}`),
      deleted: (key) => told.push(`${prefix} lacks ${key}`),
    };
  }

  function change(key: string): StoreChange {
    const item = {key, value: Buffer.alloc(0), revision: ++revision};
    return {kind: 'written', item};
  }

  function untilAborted(
    signal: AbortSignal,
  ): Promise<StoreReply<StoreChanges>> {
    return new Promise((resolve) => {
      signal.addEventListener('abort', () => {
        resolve({kind: 'unanswered', detail: 'aborted'});
      });
    });
  }

  /** A store that answers each watch with what `answers` has next. */
  function scriptedPort(): MetadataStore {
    return {
      list: () =>
        Promise.resolve({
          kind: 'ok',
          value: {items: [], hasMore: false, revision: 1, transfer: AT_ONCE},
        }),
      watch: (
        prefix: string,
        _revision: number,
        _waitMs: number,
        signal: AbortSignal,
      ) => {
        watched.push(prefix);
        const next = answers.shift();
        if (next === undefined) return untilAborted(signal);
        return new Promise((resolve) => {
          clock.after(4, () => resolve(next));
        });
      },
    } as Partial<MetadataStore> as MetadataStore;
  }

  function start(...prefixes: string[]): StoreMirror {
    const mirror = new StoreMirror({
      sections: prefixes.map(section),
      store: scriptedPort(),
      listener: {
        returned: () => told.push('returned'),
        lost: () => told.push('lost'),
      },
      clock,
      random: () => 0.5,
      log: silentLog,
      pace: {waitMs: 2_000, gatherMs: GATHER_MS},
    });
    void mirror.run(stopped.signal);
    return mirror;
  }

  function changes(...keys: string[]): StoreReply<StoreChanges> {
    return {
      kind: 'ok',
      value: {changes: keys.map(change), revision, transfer: AT_ONCE},
    };
  }

  it('tells each section of its own keys, and nobody of others', async () => {
    answers = [changes('b/1', 'x/1', 'a/1')];
    start('a/', 'b/');
    await clock.advance(100);
    expect(told).toEqual(['returned', 'b/ has b/1', 'a/ has a/1']);
  });

  it('has one watch open, for what the prefixes have in common', async () => {
    start('fleet/a/', 'fleet/b/');
    await clock.advance(100);
    expect(watched).toEqual(['fleet/']);
  });

  it('makes one call a pause, whatever changes', async () => {
    answers = Array.from({length: 10}, () => changes('a/1', 'b/1', 'c/1'));
    start('a/', 'b/', 'c/');
    await clock.advance(GATHER_MS * 5);
    expect(watched.length).toBeLessThanOrEqual(6);
  });

  it('tells of the return before it tells what changed meanwhile', async () => {
    answers = [
      {kind: 'refused', status: 503},
      {kind: 'refused', status: 503},
      changes('a/1'),
    ];
    start('a/', 'b/');
    await clock.advance(1_000);
    expect(told).toEqual(['returned', 'lost', 'returned', 'a/ has a/1']);
  });

  it('asks at once when told that another call failed', async () => {
    const mirror = start('a/', 'b/');
    await clock.advance(100);
    expect(watched).toHaveLength(1);
    mirror.probe();
    await clock.advance(10);
    expect(watched).toHaveLength(2);
    expect(told).toEqual(['returned']);
  });
});
