/**
 * Whether a stream is complete whose connection was closed in order, between two events. An
 * engine that ends looks the same where the answer states neither a length nor chunks.
 */

/** Empty streams of different engines that together show that no event is left. */
const AGREEING_EMPTY_ENDS = 2;

/** A stream whose connection was closed in order, between two events. */
export interface OrderlyEnd {
  /** True if nothing but the connection's end shows the end of the answer. */
  readonly isDelimitedByClose: boolean;
  /** True if the engine sent an event. */
  readonly hasEvents: boolean;
  /** True if the caller has events of earlier runs. */
  readonly callerHasEvents: boolean;
  /** Engines that have ended the generation without an event, this one included. */
  readonly emptyEnds: number;
}

/** True if no event is left of a stream whose run wasn't stopped. */
export function isCompleteEnd(end: OrderlyEnd): boolean {
  if (!end.isDelimitedByClose || end.hasEvents) return true;
  // A caller that lost its connection right before the end resumes after the last event.
  return end.callerHasEvents && end.emptyEnds >= AGREEING_EMPTY_ENDS;
}
