import {VirtualClock} from '@lilacledge/shared';
import {beforeEach, describe, expect, it} from 'vitest';
import {silentLog} from '../../log/boundedLog.js';
import {toRevision} from '../../model/index.js';
import {ZoneEvacuations} from '../zoneEvacuations.js';
import type {ZoneStatus} from '../zoneEvacuations.js';

const BOUND_MS = 5_000;

let clock: VirtualClock;
let zones: ZoneEvacuations;
let changes: ZoneStatus[];

beforeEach(() => {
  clock = new VirtualClock();
  zones = new ZoneEvacuations(clock, silentLog, () => BOUND_MS);
  changes = [];
  zones.onChange((status) => changes.push(status));
});

function ordered(revision: number, zone = 'north'): ZoneStatus {
  return {zone, isEvacuated: true, revision};
}

function ended(revision: number, zone = 'north'): ZoneStatus {
  return {zone, isEvacuated: false, revision};
}

function mayGetWork(zone = 'north'): boolean {
  return zones.mayGetWork(zone, clock.nowMs());
}

describe('orders to evacuate zones', () => {
  describe('read from the store', () => {
    it('are dated from the last time at which the store did not hold them', () => {
      zones.noteOrdered('north', 7, clock.nowMs() - BOUND_MS);
      expect(zones.isEvacuated('north')).toBe(true);
      expect(mayGetWork()).toBe(false);
    });

    it('leave the zone as a last resort for part of the permitted time', async () => {
      zones.noteOrdered('north', 7, clock.nowMs());
      expect(mayGetWork()).toBe(true);
      await clock.advance(BOUND_MS - 500);
      expect(mayGetWork()).toBe(false);
    });

    it('do not affect other zones', () => {
      zones.noteOrdered('north', 7, -Infinity);
      expect(zones.isEvacuated('south')).toBe(false);
      expect(mayGetWork('south')).toBe(true);
    });

    it('may end and be given again, with a new last-resort period', async () => {
      zones.noteOrdered('north', 7, clock.nowMs());
      await clock.advance(400);
      zones.noteEnded('north', 8);
      expect(mayGetWork()).toBe(true);
      await clock.advance(BOUND_MS);
      zones.noteOrdered('north', 9, clock.nowMs());
      expect(mayGetWork()).toBe(true);
      await clock.advance(BOUND_MS);
      expect(mayGetWork()).toBe(false);
    });

    it('end when a complete read does not contain them', () => {
      zones.notePeerStatus(ordered(7));
      zones.notePeerStatus(ordered(8, 'south'));
      zones.noteRead(new Set(['south']), 20);
      expect(zones.isEvacuated('north')).toBe(false);
      expect(zones.isEvacuated('south')).toBe(true);
    });

    it('remain if they are newer than a complete read without them', () => {
      zones.notePeerStatus(ordered(30));
      zones.noteRead(new Set(), 20);
      expect(zones.isEvacuated('north')).toBe(true);
    });
  });

  describe('received from another entry', () => {
    it('end the last resort early, as the time of their writing is unknown', async () => {
      zones.notePeerStatus(ordered(7));
      expect(zones.isEvacuated('north')).toBe(true);
      await clock.advance(BOUND_MS / 2);
      expect(mayGetWork()).toBe(false);
    });

    it('are not revived after their end', () => {
      zones.notePeerStatus(ordered(7));
      zones.notePeerStatus(ended(9));
      zones.notePeerStatus(ordered(7));
      expect(zones.isEvacuated('north')).toBe(false);
    });

    it('are ignored if the store was read at a later revision', () => {
      zones.noteRead(new Set(), 20);
      zones.notePeerStatus(ordered(7));
      expect(zones.isEvacuated('north')).toBe(false);
    });

    it('do not end a newer order from the store', () => {
      zones.noteOrdered('north', 7, clock.nowMs());
      zones.notePeerStatus(ended(5));
      expect(zones.isEvacuated('north')).toBe(true);
    });

    it('do not extend the last resort of an order read from the store', async () => {
      zones.noteOrdered('north', 7, clock.nowMs());
      await clock.advance(BOUND_MS - 500);
      zones.notePeerStatus(ordered(7));
      expect(mayGetWork()).toBe(false);
    });
  });

  it('notify listeners once per change, so that forwarding between entries terminates', () => {
    zones.notePeerStatus(ordered(7));
    zones.notePeerStatus(ordered(7));
    zones.noteOrdered('north', 7, clock.nowMs());
    zones.noteEnded('north', 9);
    zones.notePeerStatus(ended(9));
    expect(changes).toEqual([ordered(7), ended(9)]);
  });
});

// Guards against work in an evacuated zone whose order a restored store has lost.
describe('an order that a restored store lacks', () => {
  const LOST_ORDER_MS = 5_000;
  const ORDERED = toRevision(1, 7)!;
  const RESTORED = toRevision(2, 3)!;

  describe('at an entry that knows it', () => {
    beforeEach(() => {
      zones.noteOrdered('north', ORDERED, -Infinity);
      zones.noteRead(new Set(), RESTORED);
    });

    it('stays in force until operators had time to write it again', async () => {
      await clock.advance(LOST_ORDER_MS - 1);
      expect(zones.isEvacuated('north')).toBe(true);
      await clock.advance(1);
      expect(zones.isEvacuated('north')).toBe(false);
    });

    it('stays in force if it is written again', async () => {
      await clock.advance(1_000);
      zones.noteOrdered('north', toRevision(2, 4)!, clock.nowMs());
      await clock.advance(LOST_ORDER_MS);
      expect(zones.isEvacuated('north')).toBe(true);
      expect(changes).toEqual([ordered(ORDERED)]);
    });

    it('ends when it is deleted', async () => {
      await clock.advance(1_000);
      zones.noteOrdered('north', toRevision(2, 4)!, clock.nowMs());
      zones.noteEnded('north', toRevision(2, 5)!);
      expect(zones.isEvacuated('north')).toBe(false);
    });

    it('is not revived by a peer once it has ended', async () => {
      await clock.advance(LOST_ORDER_MS);
      zones.notePeerStatus(ordered(ORDERED));
      expect(zones.isEvacuated('north')).toBe(false);
    });
  });

  it('is learned from a peer by an entry that read the restored store alone', async () => {
    zones.noteRead(new Set(), RESTORED);
    zones.notePeerStatus(ordered(ORDERED));
    expect(zones.isEvacuated('north')).toBe(true);
    await clock.advance(LOST_ORDER_MS);
    expect(zones.isEvacuated('north')).toBe(false);
  });
});
