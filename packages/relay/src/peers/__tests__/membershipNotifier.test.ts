import {createRandom, VirtualClock} from '@lilacledge/shared';
import {Packr} from 'msgpackr';
import {beforeEach, describe, expect, it} from 'vitest';
import {MembershipNotifier} from '../membershipNotifier.js';
import type {Member} from '../membership.js';
import type {Peer} from '../peerMesh.js';
import {PeerRole} from '../peerMessages.js';
import type {Members, PeerMessage} from '../peerMessages.js';

/*
 * Guards against a broadcast storm. When 24 of 68 entries, which the store had rejected,
 * registered again together, each entry sent the whole list to each sidecar at each
 * change. On the slowest links, streams were delayed for half a second by a megabyte.
 */

const ZONES = ['one', 'two', 'three', 'four', 'five'];
const ENTRIES = 68;
const SIDECARS = 40;
const RETURNING = 24;

/** Bandwidth of an entry's slowest network link, in bytes per millisecond: 14 Mbit/s. */
const LINK_BYTES_PER_MS = 1_750;

/** Maximum time for which events of streams may be delayed by membership messages. */
const MAX_DELAY_MS = 20;

interface Sent {
  readonly atMs: number;
  readonly bytes: number;
  readonly message: Members;
}

const packr = new Packr({useRecords: false});

let clock: VirtualClock;
let members: Member[];
let notifier: MembershipNotifier;

beforeEach(() => {
  clock = new VirtualClock();
  members = Array.from({length: ENTRIES}, (_, place) => ({
    instance: `entry-${place}`,
    address: {host: `10.1.${place % ZONES.length}.${place}`, port: 8_522},
    zone: ZONES[place % ZONES.length]!,
  }));
  notifier = new MembershipNotifier(() => members, clock, createRandom(3));
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

/** Longest time for which the sent messages occupy the slowest link. */
function maxQueueDelayMs(sent: readonly Sent[]): number {
  let freeAtMs = 0;
  let longestMs = 0;
  for (const {atMs, bytes} of sent) {
    freeAtMs = Math.max(freeAtMs, atMs) + bytes / LINK_BYTES_PER_MS;
    longestMs = Math.max(longestMs, freeAtMs - atMs);
  }
  return longestMs;
}

describe('MembershipNotifier', () => {
  it('does not congest the slowest link when a third of the fleet registers again', async () => {
    const sent: Sent[] = [];
    for (let place = 0; place < SIDECARS; place++) {
      notifier.opened(sidecarIn(ZONES[place % ZONES.length]!, sent));
    }
    sent.length = 0;
    const all = members;
    const left = all.slice(RETURNING);
    members = left;
    notifier.changed();
    await clock.advance(3_000);
    for (let back = 1; back <= RETURNING; back++) {
      members = [...left, ...all.slice(0, back)];
      notifier.changed();
      await clock.advance(20);
    }
    await clock.advance(3_000);
    expect(maxQueueDelayMs(sent)).toBeLessThan(MAX_DELAY_MS);
    expect(sent.length).toBeGreaterThan(SIDECARS);
  });

  describe('for a sidecar of a large fleet', () => {
    let sent: Sent[];
    let sidecar: Peer;

    beforeEach(() => {
      sent = [];
      sidecar = sidecarIn('two', sent);
      notifier.opened(sidecar);
    });

    it('sends the entries of its zone when the link opens', () => {
      const [{message}] = sent as [Sent];
      expect(new Set(message.entries.map(({zone}) => zone))).toEqual(
        new Set(['two']),
      );
      expect(message.entries).toHaveLength(14);
      expect(message.isZoned).toBe(true);
    });

    it('sends the changes of the batch delay in one message', async () => {
      const [first] = members.splice(1, 1);
      notifier.changed();
      members.splice(1, 1);
      notifier.changed();
      await clock.advance(2_000);
      expect(sent).toHaveLength(2);
      const {host, port} = first!.address;
      expect(sent[1]!.message).toMatchObject({
        entries: [],
        gone: [`${host}:${port}`],
      });
    });

    it('sends nothing when entries of other zones change', async () => {
      members.splice(0, 1);
      notifier.changed();
      await clock.advance(2_000);
      expect(sent).toHaveLength(1);
    });

    it('sends nothing after its link has closed', async () => {
      members.splice(1, 1);
      notifier.changed();
      notifier.closed(sidecar);
      await clock.advance(2_000);
      expect(sent).toHaveLength(1);
    });
  });

  it('sends all entries to a sidecar of a small fleet', () => {
    members = members.slice(0, 5);
    const sent: Sent[] = [];
    notifier.opened(sidecarIn('two', sent));
    expect(sent[0]!.message.entries).toHaveLength(5);
    expect(sent[0]!.message.isZoned).toBe(false);
  });
});
