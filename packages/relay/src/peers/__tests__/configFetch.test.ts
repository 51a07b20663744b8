import {createRandom, VirtualClock} from '@lilacledge/shared';
import {beforeEach, describe, expect, it} from 'vitest';
import {silentLog} from '../../log/boundedLog.js';
import {PeerConfigFetcher} from '../configFetch.js';
import type {Peer} from '../peerMesh.js';
import {PeerRole} from '../peerMessages.js';

const APPLY_MS = 2_000;
const PEERS = 8;

let clock: VirtualClock;
let version: number;
let requestedFrom: string[];
let fetch: PeerConfigFetcher;
let isStoreAvailable: boolean;

beforeEach(() => {
  clock = new VirtualClock();
  version = 1;
  requestedFrom = [];
  isStoreAvailable = false;
  fetch = new PeerConfigFetcher({
    clock,
    random: createRandom(5),
    log: silentLog,
    version: () => version,
    configApplyMs: () => APPLY_MS,
    isStoreAvailable: () => isStoreAvailable,
  });
});

function peer(instance: string): Peer {
  return {
    hello: {type: 'hello', instance, role: PeerRole.ENTRY, zone: 'north'},
    send: () => requestedFrom.push(instance),
    close: () => {},
  };
}

function offerAll(offered: number): void {
  for (let place = 0; place < PEERS; place++) {
    fetch.noteOffer(peer(`peer-${place}`), offered);
  }
}

describe('PeerConfigFetcher', () => {
  it('asks no peer when the store delivers the version promptly', async () => {
    offerAll(2);
    await clock.advance(50);
    version = 2;
    await clock.advance(APPLY_MS);
    expect(requestedFrom).toEqual([]);
  });

  it('asks one peer when the store does not deliver, and no other once that one has', async () => {
    offerAll(2);
    await clock.advanceUntil(() => requestedFrom.length === 1);
    expect(clock.nowMs()).toBeLessThan(APPLY_MS / 4);
    version = 2;
    await clock.advance(APPLY_MS);
    expect(requestedFrom).toHaveLength(1);
  });

  it('asks another peer in time when the first does not answer', async () => {
    offerAll(2);
    await clock.advanceUntil(() => requestedFrom.length === 2);
    expect(new Set(requestedFrom).size).toBe(2);
    expect(clock.nowMs()).toBeLessThan(APPLY_MS / 2);
  });

  it('does not ask a peer whose link has closed', async () => {
    const gone = peer('gone');
    fetch.noteOffer(gone, 2);
    fetch.notePeerClosed(gone);
    await clock.advance(APPLY_MS);
    expect(requestedFrom).toEqual([]);
  });

  it('asks at once while no version is known', () => {
    version = 0;
    offerAll(2);
    expect(requestedFrom).toEqual(['peer-0']);
  });

  it('ignores a peer without a newer version', async () => {
    offerAll(1);
    await clock.advance(APPLY_MS);
    expect(requestedFrom).toEqual([]);
  });

  describe('while the store answers this entry', () => {
    /** Time that the store's response takes on a slow link, besides streams. */
    const TRANSFER_MS = 320;
    const GAP_MS = 200;

    beforeEach(() => {
      isStoreAvailable = true;
    });

    it('asks no peer for a series of versions that the store delivers', async () => {
      for (let made = 2; made < 40; made++) {
        offerAll(made);
        clock.after(TRANSFER_MS, () => {
          version = Math.max(version, made);
        });
        await clock.advance(GAP_MS);
      }
      expect(requestedFrom).toEqual([]);
    });

    it('still asks a peer in time for a version that the store does not deliver', async () => {
      offerAll(2);
      await clock.advance(APPLY_MS * 0.1);
      offerAll(3);
      version = 2;
      await clock.advanceUntil(() => requestedFrom.length === 1);
      expect(clock.nowMs()).toBeLessThan(APPLY_MS * 0.7);
    });
  });
});
