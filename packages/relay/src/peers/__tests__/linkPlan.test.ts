import {describe, expect, it} from 'vitest';
import {
  entriesOfSidecar,
  entriesToDial,
  farEnginesToDial,
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

/** Names of the entries at the other end of an entry's links, by name. */
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

/** Hops until news of the first entry is known to all but the silent ones. */
function hopsToAll(
  links: ReadonlyMap<string, ReadonlySet<string>>,
  silent: ReadonlySet<string> = new Set(),
): number {
  const speaking = [...links.keys()].filter((name) => !silent.has(name));
  let reached = new Set([speaking[0]!]);
  for (let hops = 0; hops < links.size; hops++) {
    if (reached.size === speaking.length) return hops;
    const next = [...reached].flatMap((name) => [...links.get(name)!]);
    reached = new Set([...reached, ...next.filter((n) => !silent.has(n))]);
  }
  return Number.POSITIVE_INFINITY;
}

describe('entriesToDial', () => {
  it('links all entries of a small fleet, each two once', () => {
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

  it('reaches all others when a third in a row is silent', () => {
    const fleet = fleetOf(27);
    const silent = new Set(fleet.slice(9, 18).map(({instance}) => instance));
    expect(hopsToAll(linksOf(fleet), silent)).toBeLessThan(10);
  });

  it('counts itself before the store told of it', () => {
    const fleet = fleetOf(20);
    const dialled = entriesToDial('entry-005x', fleet);
    expect(dialled.map(({instance}) => instance)).toContain('entry-006');
  });
});

describe('entriesOfSidecar', () => {
  it('takes all entries of a small fleet', () => {
    expect(entriesOfSidecar('north', fleetOf(12))).toHaveLength(12);
  });

  it('takes those of its own zone in a larger one', () => {
    const taken = entriesOfSidecar('north', fleetOf(27));
    expect(taken).toHaveLength(9);
    expect(new Set(taken.map(({zone}) => zone))).toEqual(new Set(['north']));
  });

  it('takes some of others when its own zone has none', () => {
    expect(entriesOfSidecar('east', fleetOf(27)).length).toBeGreaterThan(0);
  });
});

describe('farEnginesToDial', () => {
  const engines = Array.from({length: 170}, (_, index) => `engine-${index}`);

  it('links to all where there are few', () => {
    const few = engines.slice(0, 18);
    expect([...farEnginesToDial('entry-1', few)].sort()).toEqual(few.sort());
  });

  it('does not grow with the fleet', () => {
    expect(farEnginesToDial('entry-1', engines).size).toBe(24);
  });

  it('changes by one when an engine goes', () => {
    const before = farEnginesToDial('entry-1', engines);
    const [gone] = before;
    const after = farEnginesToDial(
      'entry-1',
      engines.filter((id) => id !== gone),
    );
    const added = [...after].filter((id) => !before.has(id));
    expect(added).toHaveLength(1);
    expect(after.size).toBe(24);
  });

  it('spreads the links of all entries over the engines', () => {
    const links = new Map(engines.map((id) => [id, 0]));
    for (const {instance} of fleetOf(130)) {
      for (const id of farEnginesToDial(instance, engines)) {
        links.set(id, links.get(id)! + 1);
      }
    }
    // 18 each, if they were equal.
    expect(Math.max(...links.values())).toBeLessThan(2 * 18);
    expect(Math.min(...links.values())).toBeGreaterThan(0);
  });
});
