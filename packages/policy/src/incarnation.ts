/**
 * Tells the incarnations of an endpoint apart. An endpoint may restart under the same id,
 * without any of its former state.
 *
 * State kept by id would otherwise outlive the process it belongs to: an endpoint that left
 * and returned under its id got no work while it was registered, and commitments, doubts
 * and copies of its former incarnation counted for the new one.
 */

/** What distinguishes two incarnations of one id. */
export interface Incarnation {
  /** Unix time of the start as the endpoint reports it; undefined if it does not. */
  readonly startedAtMs?: number;
  /** Service and address, which never change while an endpoint runs. */
  readonly location: string;
  /** True once the endpoint has announced that it leaves, which it never revokes. */
  readonly isLeaving: boolean;
}

/** How a registration relates to the known incarnation of its id. */
export const IncarnationOrder = {
  SAME: 'same',
  /** The endpoint restarted: all state of the known incarnation is obsolete. */
  LATER: 'later',
  /** Outdated: from an earlier incarnation, or written before the endpoint announced its leave. */
  FORMER: 'former',
  /** Lacks the start time that the known incarnation reported: written by another process. */
  UNPROVEN: 'unproven',
} as const;
export type IncarnationOrder =
  (typeof IncarnationOrder)[keyof typeof IncarnationOrder];

/** Compares a registered incarnation with the known one. */
export function compareIncarnations(
  known: Incarnation,
  registered: Incarnation,
): IncarnationOrder {
  const startOrder = compareStarts(known.startedAtMs, registered.startedAtMs);
  if (startOrder !== IncarnationOrder.SAME) return startOrder;
  if (known.location !== registered.location) return IncarnationOrder.LATER;
  // The store may apply a write seconds after the client stopped waiting for it.
  const isBeforeLeave = known.isLeaving && !registered.isLeaving;
  return isBeforeLeave ? IncarnationOrder.FORMER : IncarnationOrder.SAME;
}

function compareStarts(
  knownMs?: number,
  registeredMs?: number,
): IncarnationOrder {
  if (knownMs === registeredMs) return IncarnationOrder.SAME;
  if (registeredMs === undefined) return IncarnationOrder.UNPROVEN;
  if (knownMs === undefined) return IncarnationOrder.LATER;
  return registeredMs > knownMs
    ? IncarnationOrder.LATER
    : IncarnationOrder.FORMER;
}
