import {hash32} from '@lilacledge/shared';

/**
 * Overlay network of a large fleet: chooses the members that a member links to, so
 * that updates reach all members in a few hops and the links of a member grow only
 * with the logarithm of the fleet's size.
 *
 * The members form several rings, the first in the order of their names and each of
 * the others in a different hash order. A member links to its successor in each ring.
 * The union of the rings spreads updates about as well as a random graph of the same
 * degree and stays connected when a third of the members do not respond.
 *
 * Prevents reconnection storms: if links followed from the index in one list, a member
 * that joins or leaves would shift all indexes behind it, and the fleet would replace
 * many links at once. Here one link for each ring is dialled when a member leaves.
 */

/** Growth of the fleet that adds one ring. */
const RING_GROWTH = 3;

/** Number of rings, which grows with the logarithm of the fleet's size. */
export function ringCount(memberCount: number): number {
  let rings = 1;
  for (let size = RING_GROWTH; size < memberCount; size *= RING_GROWTH) rings++;
  return rings;
}

/** Names of the members that a member links to: its successor in each ring. */
export function ringSuccessors(
  ownName: string,
  names: readonly string[],
): ReadonlySet<string> {
  const others = names.filter((name) => name !== ownName);
  const next = new Set<string>();
  for (let ring = 0; ring < ringCount(others.length + 1); ring++) {
    const name = findSuccessor(ownName, others, ring);
    if (name !== undefined) next.add(name);
  }
  return next;
}

/** A member's position in a ring; names decide between equal hashes. */
interface RingPosition {
  readonly hash: number;
  readonly name: string;
}

function positionOf(name: string, ring: number): RingPosition {
  return {hash: ring === 0 ? 0 : hash32(`${ring} ${name}`), name};
}

function findSuccessor(
  ownName: string,
  others: readonly string[],
  ring: number,
): string | undefined {
  const own = positionOf(ownName, ring);
  let first: RingPosition | undefined;
  let next: RingPosition | undefined;
  for (const name of others) {
    const position = positionOf(name, ring);
    if (first === undefined || isBefore(position, first)) first = position;
    if (!isBefore(own, position)) continue;
    if (next === undefined || isBefore(position, next)) next = position;
  }
  return (next ?? first)?.name;
}

function isBefore(a: RingPosition, b: RingPosition): boolean {
  return a.hash === b.hash ? a.name < b.name : a.hash < b.hash;
}
