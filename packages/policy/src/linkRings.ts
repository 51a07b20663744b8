import {hash32} from '@lilacledge/shared';

/**
 * Which members of a large fleet a member links to, so that news reaches all in a few
 * hops and nobody's links grow with the fleet.
 *
 * All members stand in several rings, the first in the order of their names and each
 * other in an order of its own that is drawn by a hash; a member links to its next in
 * each. The union of such rings spreads news about as well as a random graph of the
 * same degree, and stays connected when a third of the members is silent.
 *
 * Answers the pattern of a reconnection storm: where a place follows from a position
 * in one order, a member more or less shifts every place behind it, and the fleet
 * closes and dials many of its links at once. Here each ring changes at one place: one
 * link a ring is dialled anew when a member goes.
 */

/** With this many members for each one before, a ring more is needed. */
const RING_GROWTH = 3;

/** Rings of a fleet: about the logarithm of its size. */
export function ringCount(memberCount: number): number {
  let rings = 1;
  for (let size = RING_GROWTH; size < memberCount; size *= RING_GROWTH) rings++;
  return rings;
}

/** The names that a member links to: its next in each ring. */
export function nextInRings(
  ownName: string,
  names: readonly string[],
): ReadonlySet<string> {
  const others = names.filter((name) => name !== ownName);
  const next = new Set<string>();
  for (let ring = 0; ring < ringCount(others.length + 1); ring++) {
    const name = nextAfter(ownName, others, ring);
    if (name !== undefined) next.add(name);
  }
  return next;
}

/** A member's place in a ring; the name alone decides between equal hashes. */
interface Place {
  readonly point: number;
  readonly name: string;
}

function placeOf(name: string, ring: number): Place {
  return {point: ring === 0 ? 0 : hash32(`${ring} ${name}`), name};
}

function nextAfter(
  ownName: string,
  others: readonly string[],
  ring: number,
): string | undefined {
  const own = placeOf(ownName, ring);
  let first: Place | undefined;
  let next: Place | undefined;
  for (const name of others) {
    const place = placeOf(name, ring);
    if (first === undefined || isBefore(place, first)) first = place;
    if (!isBefore(own, place)) continue;
    if (next === undefined || isBefore(place, next)) next = place;
  }
  return (next ?? first)?.name;
}

function isBefore(a: Place, b: Place): boolean {
  return a.point === b.point ? a.name < b.name : a.point < b.point;
}
