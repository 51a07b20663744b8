/**
 * How a large value of the store is followed that is replaced as a whole, as the
 * configuration is. A watch brings every version since the last answer, so that an
 * answer which takes longer than the pause between two versions is followed by a
 * larger one. Once an answer was long on its way the newest version alone is read,
 * after a pause, until a read brings nothing new.
 *
 * Answers the patterns of head-of-line blocking and of work that grows with its own
 * delay: on a small link several versions in one answer take longer than the pause
 * between two, the next answer has more of them, and all other news waits behind.
 */

/** An answer that came within this time leaves the link to others. */
const QUICK_MS = 50;

/**
 * Part of the time in which a version must be in force that a pause takes at most.
 * A version that is made right after a read began waits for that read, the pause and
 * its own read, all of which must fit into that time.
 */
const PAUSE_SHARE = 0.2;

/** What is asked of the store next. */
export type NextRead =
  /** Waits for versions after the last one. */
  | {readonly kind: 'watch'}
  /** Reads the newest version, after a pause. */
  | {readonly kind: 'newest'; readonly pauseMs: number};

/** How the last answer came. */
export interface BulkAnswer {
  /** Time from the head of the answer to its last byte, in milliseconds. */
  readonly tookMs: number;
  /** True when it brought a version that was not known. */
  readonly isNew: boolean;
}

/**
 * What follows an answer. The pause is as long as the answer was on its way: the
 * other half of the link is the callers'.
 */
export function readAfter(answer: BulkAnswer, applyBoundMs: number): NextRead {
  if (!answer.isNew || answer.tookMs < QUICK_MS) return {kind: 'watch'};
  const pauseMs = Math.min(answer.tookMs, applyBoundMs * PAUSE_SHARE);
  return {kind: 'newest', pauseMs};
}
