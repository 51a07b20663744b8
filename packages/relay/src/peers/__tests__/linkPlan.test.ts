import {describe, expect, it} from 'vitest';
import {
  entriesForSidecar,
  entriesToDial,
  crossZoneEnginesToDial,
} from '../linkPlan.js';
import type {Member} from '../membership.js';

const ZONES = ['north', 'south', 'west'];

function fleetOf(size: number): Member[] {
  return Array.from({length: size}, (_, place) => ({
    instance: `entry-${String(place).padStart(3, '0')}`,
    address: {host: '10.0.0.1', port: 1_000 + place},
    zone: ZONES[place % ZONES.length]!,
  }));
}

/** Names of the linked entries, by the name of each entry. */
function linksOf(fleet: readonly Member[]): Map<string, Set<string>> {
  const links = new Map<string, Set<string>>(
    fleet.map(({instance}) => [instance, new Set()]),
  );
  for (const {instance} of fleet) {
    for (const other of entriesToDial(instance, fleet)) {
      links.get(instance)!.add(other.instance);
      links.get(other.instance)!.add(instance);
    }
  }
  return links;
}

/** Hops until an update from the first entry has reached all but the failed ones. */
function hopsToAll(
  links: ReadonlyMap<string, ReadonlySet<string>>,
  failed: ReadonlySet<string> = new Set(),
): number {
  const alive = [...links.keys()].filter((name) => !failed.has(name));
  let reached = new Set([alive[0]!]);
  for (let hops = 0; hops < links.size; hops++) {
    if (reached.size === alive.length) return hops;
    const next = [...reached].flatMap((name) => [...links.get(name)!]);
    reached = new Set([...reached, ...next.filter((n) => !failed.has(n))]);
  }
  return Number.POSITIVE_INFINITY;
}

describe('entriesToDial', () => {
  it('links each pair of entries of a small fleet once', () => {
    const fleet = fleetOf(5);
    const dials = fleet.flatMap(({instance}) => entriesToDial(instance, fleet));
    expect(dials).toHaveLength(10);
    for (const links of linksOf(fleet).values()) expect(links.size).toBe(4);
  });

  it.each([
    [27, 6, 4],
    [360, 12, 7],
  ])(
    'reaches all of %i entries with at most %i links each in %i hops',
    (size, mostLinks, mostHops) => {
      const links = linksOf(fleetOf(size));
      for (const own of links.values()) {
        expect(own.size).toBeLessThanOrEqual(mostLinks);
      }
      expect(hopsToAll(links)).toBeLessThanOrEqual(mostHops);
    },
  );

  it('still connects the others when a contiguous third of the fleet has failed', () => {
    const fleet = fleetOf(27);
    const failed = new Set(fleet.slice(9, 18).map(({instance}) => instance));
    expect(hopsToAll(linksOf(fleet), failed)).toBeLessThan(10);
  });

  it('includes the own entry before the store has delivered it', () => {
    const fleet = fleetOf(20);
    const dialled = entriesToDial('entry-005x', fleet);
    expect(dialled.map(({instance}) => instance)).toContain('entry-006');
  });
});

describe('entriesForSidecar', () => {
  it('returns all entries of a small fleet', () => {
    expect(entriesForSidecar('north', fleetOf(12))).toHaveLength(12);
  });

  it('returns the entries of its own zone in a large fleet', () => {
    const entries = entriesForSidecar('north', fleetOf(27));
    expect(entries).toHaveLength(9);
    expect(new Set(entries.map(({zone}) => zone))).toEqual(new Set(['north']));
  });

  it('returns entries of other zones when its own zone has none', () => {
    expect(entriesForSidecar('east', fleetOf(27)).length).toBeGreaterThan(0);
  });
});

describe('crossZoneEnginesToDial', () => {
  const engines = Array.from({length: 170}, (_, index) => `engine-${index}`);

  it('returns all engines if there are few', () => {
    const few = engines.slice(0, 18);
    expect([...crossZoneEnginesToDial('entry-1', few)].sort()).toEqual(
      few.sort(),
    );
  });

  it('returns a limited number of engines of a large fleet', () => {
    expect(crossZoneEnginesToDial('entry-1', engines).size).toBe(24);
  });

  it('replaces only one engine when one is removed', () => {
    const before = crossZoneEnginesToDial('entry-1', engines);
    const [removed] = before;
    const after = crossZoneEnginesToDial(
      'entry-1',
      engines.filter((id) => id !== removed),
    );
    const added = [...after].filter((id) => !before.has(id));
    expect(added).toHaveLength(1);
    expect(after.size).toBe(24);
  });

  it('spreads the links of all entries over the engines', () => {
    const links = new Map(engines.map((id) => [id, 0]));
    for (const {instance} of fleetOf(130)) {
      for (const id of crossZoneEnginesToDial(instance, engines)) {
        links.set(id, links.get(id)! + 1);
      }
    }
    // An even distribution gives 18 links to each engine.
    expect(Math.max(...links.values())).toBeLessThan(2 * 18);
    expect(Math.min(...links.values())).toBeGreaterThan(0);
  });
});
