/**
 * Which life of an endpoint a registration speaks of. An endpoint may start again
 * under the id that it had; it then holds and knows nothing of before.
 *
 * Answers the pattern of a stale identity: state that is kept by a name outlives what
 * bore the name. Without this an endpoint that left and was back under its id got no
 * work for as long as it was registered, and what had been promised, doubted or
 * copied there in its former life counted for the new one.
 */

/** What tells two lives of one id apart. */
export interface Life {
  /** Unix time of the start, as the endpoint says; undefined if it does not. */
  readonly startedAtMs?: number;
  /** Service and address: an endpoint that runs changes neither. */
  readonly place: string;
  /** True when the endpoint says that it leaves, which it never takes back. */
  readonly isLeaving: boolean;
}

/** What a registration is to the life that is known under its id. */
export const Succession = {
  SAME: 'same',
  /** A start since: all that belonged to the known life has ended. */
  LATER: 'later',
  /** It comes late: from a life that has ended, or from before a leave. */
  FORMER: 'former',
  /** It does not tell its start, though the known life did: somebody else's. */
  UNPROVEN: 'unproven',
} as const;
export type Succession = (typeof Succession)[keyof typeof Succession];

/** What the life that is told now is to the known one. */
export function succession(known: Life, told: Life): Succession {
  const startOrder = compareStarts(known.startedAtMs, told.startedAtMs);
  if (startOrder !== Succession.SAME) return startOrder;
  if (known.place !== told.place) return Succession.LATER;
  // A write that nobody answered may be carried out seconds later.
  const isBeforeLeave = known.isLeaving && !told.isLeaving;
  return isBeforeLeave ? Succession.FORMER : Succession.SAME;
}

function compareStarts(knownMs?: number, toldMs?: number): Succession {
  if (knownMs === toldMs) return Succession.SAME;
  if (toldMs === undefined) return Succession.UNPROVEN;
  if (knownMs === undefined) return Succession.LATER;
  return toldMs > knownMs ? Succession.LATER : Succession.FORMER;
}
