import {VirtualClock} from '@lilacledge/shared';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {silentLog} from '../../log/boundedLog.js';
import type {
  MetadataStore,
  StoreChanges,
  StoreItem,
  StoreReply,
} from '../../ports.js';
import {ConfigFollower} from '../configFollower.js';

const KEY = 'settings/all';
const WAIT_MS = 1_800;
const ANSWER_MS = 4;

let clock: VirtualClock;
let stopped: AbortController;
let calls: string[];
let taken: number[];
let failures: number;
let newest: StoreItem;
/** What the next watches bring; one that has nothing waits. */
let watches: Array<StoreReply<StoreChanges>>;
let follower: ConfigFollower;

beforeEach(() => {
  clock = new VirtualClock();
  stopped = new AbortController();
  calls = [];
  taken = [];
  failures = 0;
  newest = item(1);
  watches = [];
  follower = new ConfigFollower({
    key: KEY,
    store: scriptedPort(),
    clock,
    random: () => 0.5,
    log: silentLog,
    waitMs: () => WAIT_MS,
    applyBoundMs: () => 2_000,
    written: (value) => taken.push(Number(value.toString())),
    deleted: () => {},
    failed: () => failures++,
  });
  void follower.run(stopped.signal);
});

afterEach(() => stopped.abort());

function item(revision: number, key = KEY): StoreItem {
  return {key, value: Buffer.from(`${revision}`), revision};
}

function changed(
  tookMs: number,
  ...items: StoreItem[]
): StoreReply<StoreChanges> {
  const changes = items.map((each) => ({kind: 'written', item: each}) as const);
  const revision = items.at(-1)?.revision ?? 1;
  const transfer = {bytes: 0, tookMs};
  return {kind: 'ok', value: {changes, revision, transfer}};
}

function scriptedPort(): MetadataStore {
  return {
    list: () => {
      calls.push('list');
      const {revision} = newest;
      const transfer = {bytes: 0, tookMs: 0};
      const value = {items: [newest], hasMore: false, revision, transfer};
      return after(ANSWER_MS, {kind: 'ok', value});
    },
    watch: (
      _prefix: string,
      revision: number,
      _waitMs: number,
      signal: AbortSignal,
    ) => {
      calls.push(`watch ${revision}`);
      const next = watches.shift();
      if (next !== undefined) return after(ANSWER_MS, next);
      return new Promise((resolve) => {
        signal.addEventListener('abort', () => {
          resolve({kind: 'unanswered', detail: 'aborted'});
        });
      });
    },
  } as Partial<MetadataStore> as MetadataStore;
}

function after<T>(delayMs: number, reply: T): Promise<T> {
  return new Promise((resolve) => clock.after(delayMs, () => resolve(reply)));
}

describe('ConfigFollower', () => {
  it('follows small versions with watches alone', async () => {
    watches = [changed(2, item(2)), changed(2, item(3))];
    await clock.advance(100);
    expect(taken).toEqual([1, 2, 3]);
    expect(calls).toEqual(['list', 'watch 1', 'watch 2', 'watch 3']);
  });

  it('takes the last of several versions only', async () => {
    watches = [changed(2, item(2), item(3), item(4))];
    await clock.advance(100);
    expect(taken).toEqual([1, 4]);
  });

  it('takes no other key that begins like its own', async () => {
    watches = [changed(2, item(2, `${KEY}-old`))];
    await clock.advance(100);
    expect(taken).toEqual([1]);
  });

  it('reads the newest alone after one that was long on its way', async () => {
    watches = [changed(300, item(2))];
    newest = item(5);
    await clock.advance(600);
    expect(calls.slice(-2)).toEqual(['list', 'watch 5']);
    expect(taken.at(-1)).toBe(5);
  });

  it('reads it again when the history is gone', async () => {
    watches = [{kind: 'compacted'}];
    await clock.advance(200);
    expect(calls).toEqual(['list', 'watch 1', 'list', 'watch 1']);
    expect(failures).toBe(0);
  });

  it('tells that a call failed, and asks again', async () => {
    watches = [{kind: 'refused', status: 503}];
    await clock.advance(200);
    expect(failures).toBe(1);
    expect(calls).toEqual(['list', 'watch 1', 'watch 1']);
  });

  it('reads anew when a peer had what its own watch did not bring', async () => {
    await clock.advance(100);
    watches = [changed(2, item(2))];
    follower.noteOvertaken();
    await clock.advance(1_000);
    expect(calls).toEqual(['list', 'watch 1', 'watch 1', 'watch 2']);
    expect(failures).toBe(0);
  });

  it('leaves an answer alone that comes after the peer’s', async () => {
    follower.noteOvertaken();
    await clock.advance(2_000);
    expect(calls).toEqual(['list', 'watch 1']);
  });

  it('makes no call while it is held, and goes on after', async () => {
    await clock.advance(100);
    follower.hold();
    await clock.advance(10_000);
    expect(calls).toEqual(['list', 'watch 1']);
    watches = [changed(2, item(2))];
    follower.release();
    await clock.advance(100);
    expect(taken).toEqual([1, 2]);
    expect(failures).toBe(0);
  });
});
