import {ringSuccessors} from '@lilacledge/policy';
import {rendezvous} from '@lilacledge/shared';
import type {Member} from './membership.js';

/**
 * Maximum number of entries that form a full mesh and link to all sidecars. In larger
 * fleets the number of links of one process must not grow with the fleet.
 */
const MAX_FULL_MESH_ENTRIES = 12;

/**
 * Maximum number of engines of other zones whose sidecars an entry links to. The entry
 * then knows the load of each, and not only the mean of their zone. Without this, the
 * entries of a zone whose own engines are busy would all choose the same engine of unknown
 * load. Large enough to sample engines for load queries, and independent of the fleet's
 * size, like the other links of an entry.
 */
const MAX_CROSS_ZONE_ENGINES = 24;

/** True in fleets where sidecars report to entries of their own zone only. */
export function hasPartialView(entryCount: number): boolean {
  return entryCount > MAX_FULL_MESH_ENTRIES;
}

/**
 * The entries that an entry dials. The links to others are dialled from there, if at
 * all.
 */
export function entriesToDial(
  ownName: string,
  members: readonly Member[],
): Member[] {
  const others = members.filter(({instance}) => instance !== ownName);
  // Only one of two entries dials, so that they share one link.
  if (others.length < MAX_FULL_MESH_ENTRIES) {
    return others.filter(({instance}) => instance < ownName);
  }
  const dialled = ringSuccessors(
    ownName,
    others.map(({instance}) => instance),
  );
  return others.filter(({instance}) => dialled.has(instance));
}

/**
 * The entries that a sidecar links to: all of a small fleet, otherwise those of its own
 * availability zone, which prefer its engine.
 */
export function entriesForSidecar<T extends {readonly zone: string}>(
  zone: string,
  members: readonly T[],
): readonly T[] {
  if (!hasPartialView(members.length)) return members;
  const sameZoneMembers = members.filter((member) => member.zone === zone);
  return sameZoneMembers.length > 0
    ? sameZoneMembers
    : members.slice(0, MAX_FULL_MESH_ENTRIES);
}

/**
 * The ids of the engines of other zones whose sidecars an entry links to. Rendezvous
 * hashing gives each entry its own selection, which is stable as engines come and go.
 */
export function crossZoneEnginesToDial(
  ownName: string,
  endpointIds: readonly string[],
): ReadonlySet<string> {
  return new Set(
    rendezvous(ownName, endpointIds).slice(0, MAX_CROSS_ZONE_ENGINES),
  );
}
