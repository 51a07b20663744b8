import {createRandom, VirtualClock} from '@lilacledge/shared';
import {Packr} from 'msgpackr';
import {beforeEach, describe, expect, it} from 'vitest';
import {MemberNews} from '../memberNews.js';
import type {Member} from '../membership.js';
import type {Peer} from '../peerMesh.js';
import {PeerRole} from '../peerMessages.js';
import type {Members, PeerMessage} from '../peerMessages.js';

/*
 * Seen: 24 of 68 entries that the store had turned away came back together, and each
 * entry sent the whole list to each sidecar at each of the changes. Streams waited
 * for half a second behind a megabyte on the smallest links.
 */

const ZONES = ['one', 'two', 'three', 'four', 'five'];
const ENTRIES = 68;
const SIDECARS = 40;
const RETURNING = 24;

/** The smallest link of an entry, in bytes a millisecond: 14 Mbit/s. */
const LINK_BYTES_PER_MS = 1_750;

/** Events of streams may wait this long at most behind our own messages. */
const MOST_DELAY_MS = 20;

interface Sent {
  readonly atMs: number;
  readonly bytes: number;
  readonly message: Members;
}

const packr = new Packr({useRecords: false});

let clock: VirtualClock;
let members: Member[];
let news: MemberNews;

beforeEach(() => {
  clock = new VirtualClock();
  members = Array.from({length: ENTRIES}, (_, place) => ({
    instance: `entry-${place}`,
    address: {host: `10.1.${place % ZONES.length}.${place}`, port: 8_522},
    zone: ZONES[place % ZONES.length]!,
  }));
  news = new MemberNews(() => members, clock, createRandom(3));
});

function sidecarIn(zone: string, sent: Sent[]): Peer {
  return {
    hello: {type: 'hello', instance: 'side', role: PeerRole.SIDECAR, zone},
    send: (message: PeerMessage) => {
      const bytes = packr.pack(message).length;
      sent.push({atMs: clock.nowMs(), bytes, message: message as Members});
    },
    close: () => {},
  };
}

/** Longest time for which the smallest link is busy with what was sent. */
function longestBusyMs(sent: readonly Sent[]): number {
  let freeAtMs = 0;
  let longestMs = 0;
  for (const {atMs, bytes} of sent) {
    freeAtMs = Math.max(freeAtMs, atMs) + bytes / LINK_BYTES_PER_MS;
    longestMs = Math.max(longestMs, freeAtMs - atMs);
  }
  return longestMs;
}

describe('MemberNews', () => {
  it('keeps the smallest link free when a third of the fleet is back', async () => {
    const sent: Sent[] = [];
    for (let place = 0; place < SIDECARS; place++) {
      news.opened(sidecarIn(ZONES[place % ZONES.length]!, sent));
    }
    sent.length = 0;
    const all = members;
    const left = all.slice(RETURNING);
    members = left;
    news.changed();
    await clock.advance(3_000);
    for (let back = 1; back <= RETURNING; back++) {
      members = [...left, ...all.slice(0, back)];
      news.changed();
      await clock.advance(20);
    }
    await clock.advance(3_000);
    expect(longestBusyMs(sent)).toBeLessThan(MOST_DELAY_MS);
    expect(sent.length).toBeGreaterThan(SIDECARS);
  });

  describe('to a sidecar of a large fleet', () => {
    let sent: Sent[];
    let sidecar: Peer;

    beforeEach(() => {
      sent = [];
      sidecar = sidecarIn('two', sent);
      news.opened(sidecar);
    });

    it('tells of the entries of its zone when the link opens', () => {
      const [{message}] = sent as [Sent];
      expect(new Set(message.entries.map(({zone}) => zone))).toEqual(
        new Set(['two']),
      );
      expect(message.entries).toHaveLength(14);
      expect(message.isZoned).toBe(true);
    });

    it('tells once of what came and went meanwhile', async () => {
      const [first] = members.splice(1, 1);
      news.changed();
      members.splice(1, 1);
      news.changed();
      await clock.advance(2_000);
      expect(sent).toHaveLength(2);
      const {host, port} = first!.address;
      expect(sent[1]!.message).toMatchObject({
        entries: [],
        gone: [`${host}:${port}`],
      });
    });

    it('says nothing of entries of other zones', async () => {
      members.splice(0, 1);
      news.changed();
      await clock.advance(2_000);
      expect(sent).toHaveLength(1);
    });

    it('says nothing once its link has ended', async () => {
      members.splice(1, 1);
      news.changed();
      news.closed(sidecar);
      await clock.advance(2_000);
      expect(sent).toHaveLength(1);
    });
  });

  it('tells a sidecar of all entries while the fleet is small', () => {
    members = members.slice(0, 5);
    const sent: Sent[] = [];
    news.opened(sidecarIn('two', sent));
    expect(sent[0]!.message.entries).toHaveLength(5);
    expect(sent[0]!.message.isZoned).toBe(false);
  });
});
