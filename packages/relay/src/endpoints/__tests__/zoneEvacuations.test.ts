import {VirtualClock} from '@lilacledge/shared';
import {beforeEach, describe, expect, it} from 'vitest';
import {silentLog} from '../../log/boundedLog.js';
import {ZoneEvacuations} from '../zoneEvacuations.js';
import type {ZoneStatus} from '../zoneEvacuations.js';

const BOUND_MS = 5_000;

let clock: VirtualClock;
let zones: ZoneEvacuations;
let told: ZoneStatus[];

beforeEach(() => {
  clock = new VirtualClock();
  zones = new ZoneEvacuations(clock, silentLog, () => BOUND_MS);
  told = [];
  zones.onChange((status) => told.push(status));
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
  describe('that the store tells of', () => {
    it('count from the last moment without them', () => {
      zones.noteOrdered('north', 7, clock.nowMs() - BOUND_MS);
      expect(zones.isEvacuated('north')).toBe(true);
      expect(mayGetWork()).toBe(false);
    });

    it('leave a last resort for part of the bound', async () => {
      zones.noteOrdered('north', 7, clock.nowMs());
      expect(mayGetWork()).toBe(true);
      await clock.advance(BOUND_MS - 500);
      expect(mayGetWork()).toBe(false);
    });

    it('touch no other zone', () => {
      zones.noteOrdered('north', 7, -Infinity);
      expect(zones.isEvacuated('south')).toBe(false);
      expect(mayGetWork('south')).toBe(true);
    });

    it('end, and may come again within the bound', async () => {
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

    it('are over when a whole reading has none', () => {
      zones.noteTold(ordered(7));
      zones.noteTold(ordered(8, 'south'));
      zones.noteRead(new Set(['south']), 20);
      expect(zones.isEvacuated('north')).toBe(false);
      expect(zones.isEvacuated('south')).toBe(true);
    });

    it('stay when they are newer than a whole reading without them', () => {
      zones.noteTold(ordered(30));
      zones.noteRead(new Set(), 20);
      expect(zones.isEvacuated('north')).toBe(true);
    });
  });

  describe('that another entry tells of', () => {
    it('are kept within the bound, whenever the store had them', async () => {
      zones.noteTold(ordered(7));
      expect(zones.isEvacuated('north')).toBe(true);
      await clock.advance(BOUND_MS / 2);
      expect(mayGetWork()).toBe(false);
    });

    it('do not come back after their end', () => {
      zones.noteTold(ordered(7));
      zones.noteTold(ended(9));
      zones.noteTold(ordered(7));
      expect(zones.isEvacuated('north')).toBe(false);
    });

    it('are not taken where the store itself showed later news', () => {
      zones.noteRead(new Set(), 20);
      zones.noteTold(ordered(7));
      expect(zones.isEvacuated('north')).toBe(false);
    });

    it('do not end an order of the store that is newer', () => {
      zones.noteOrdered('north', 7, clock.nowMs());
      zones.noteTold(ended(5));
      expect(zones.isEvacuated('north')).toBe(true);
    });

    it('do not prolong the last resort of one that the store told of', async () => {
      zones.noteOrdered('north', 7, clock.nowMs());
      await clock.advance(BOUND_MS - 500);
      zones.noteTold(ordered(7));
      expect(mayGetWork()).toBe(false);
    });
  });

  it('are passed on once, so that they spread over links of any shape', () => {
    zones.noteTold(ordered(7));
    zones.noteTold(ordered(7));
    zones.noteOrdered('north', 7, clock.nowMs());
    zones.noteEnded('north', 9);
    zones.noteTold(ended(9));
    expect(told).toEqual([ordered(7), ended(9)]);
  });
});
