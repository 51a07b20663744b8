/**
 * Tells the incarnations of an endpoint apart. An endpoint may restart under the same id,
 * without any of its former state.
 *
 * State kept by id would otherwise outlive the process it belongs to: an endpoint that left
 * and returned under its id got no work while it was registered, and commitments, doubts
 * and copies of its former incarnation counted for the new one.
 */

/** What distinguishes two incarnations of one id. */
export interface Life {
  /** Unix time of the start as the endpoint reports it; undefined if it does not. */
  readonly startedAtMs?: number;
  /** Service and address, which never change while an endpoint runs. */
  readonly place: string;
  /** True once the endpoint has announced that it leaves, which it never revokes. */
  readonly isLeaving: boolean;
}

/** How a registration relates to the known incarnation of its id. */
export const Succession = {
  SAME: 'same',
  /** The endpoint restarted: all state of the known incarnation is obsolete. */
  LATER: 'later',
  /** Outdated: from an earlier incarnation, or written before the endpoint announced its leave. */
  FORMER: 'former',
  /** Lacks the start time that the known incarnation reported: written by another process. */
  UNPROVEN: 'unproven',
} as const;
export type Succession = (typeof Succession)[keyof typeof Succession];

/** Compares a registered incarnation with the known one. */
export function succession(known: Life, registered: Life): Succession {
  const startOrder = compareStarts(known.startedAtMs, registered.startedAtMs);
  if (startOrder !== Succession.SAME) return startOrder;
  if (known.place !== registered.place) return Succession.LATER;
  // The store may apply a write seconds after the client stopped waiting for it.
  const isBeforeLeave = known.isLeaving && !registered.isLeaving;
  return isBeforeLeave ? Succession.FORMER : Succession.SAME;
}

function compareStarts(knownMs?: number, registeredMs?: number): Succession {
  if (knownMs === registeredMs) return Succession.SAME;
  if (registeredMs === undefined) return Succession.UNPROVEN;
  if (knownMs === undefined) return Succession.LATER;
  return registeredMs > knownMs ? Succession.LATER : Succession.FORMER;
}
