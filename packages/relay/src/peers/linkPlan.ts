import {nextInRings} from '@lilacledge/policy';
import {rendezvous} from '@lilacledge/shared';
import type {Member} from './membership.js';

/**
 * Entries that all link to one another, and to all sidecars. Beyond this the
 * number of links of one process must not grow with the fleet.
 */
const MOST_IN_FULL_MESH = 12;

/**
 * Engines of other zones whose sidecars an entry links to. Their loads are then known
 * for each, and not only as the mean of their zone: without this the entries of a zone
 * whose own engines are busy would all take the same unknown one. Enough to draw engines to ask from; the links
 * of one entry do not grow with the fleet.
 */
const MOST_FAR_ENGINES = 24;

/** True when sidecars of other zones do not report to an entry. */
export function hasPartialView(entryCount: number): boolean {
  return entryCount > MOST_IN_FULL_MESH;
}

/** The entries that an entry dials itself; the others dial it, or none does. */
export function entriesToDial(
  ownName: string,
  members: readonly Member[],
): Member[] {
  const others = members.filter(({instance}) => instance !== ownName);
  // One of each two entries dials, so that they share one link.
  if (others.length < MOST_IN_FULL_MESH) {
    return others.filter(({instance}) => instance < ownName);
  }
  const dialled = nextInRings(
    ownName,
    others.map(({instance}) => instance),
  );
  return others.filter(({instance}) => dialled.has(instance));
}

/**
 * The entries that a sidecar links to: all of a small fleet, else those of its
 * own availability zone, which send to its engine first.
 */
export function entriesOfSidecar<T extends {readonly zone: string}>(
  zone: string,
  members: readonly T[],
): readonly T[] {
  if (!hasPartialView(members.length)) return members;
  const near = members.filter((member) => member.zone === zone);
  return near.length > 0 ? near : members.slice(0, MOST_IN_FULL_MESH);
}

/**
 * The engines of other zones whose sidecars an entry links to, by id: each entry has
 * its own, and keeps them while others come and go.
 */
export function farEnginesToDial(
  ownName: string,
  endpointIds: readonly string[],
): ReadonlySet<string> {
  return new Set(rendezvous(ownName, endpointIds).slice(0, MOST_FAR_ENGINES));
}
