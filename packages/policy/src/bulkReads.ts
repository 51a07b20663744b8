/**
 * Chooses between watching and polling a large value of the store that is replaced as
 * a whole, such as the configuration. A watch returns every version since the last
 * response. After a slow response only the newest version is read, after a pause,
 * until a read returns nothing new.
 *
 * Prevents head-of-line blocking and a backlog that grows by itself: on a slow link,
 * a response with several versions takes longer than the interval between versions,
 * so the next response holds even more of them and delays all other updates.
 */

/** A response that is transferred within this time does not congest the link. */
const QUICK_MS = 50;

/**
 * Longest pause, as a share of the time within which a version must become active. A
 * version written right after a read has started waits for that read, the pause and
 * its own read, and all three must fit into that time.
 */
const MAX_PAUSE_SHARE = 0.2;

/**
 * Share of that time for the pause and two transfers: what is left covers detection and
 * activation.
 */
const READ_SHARE = 0.9;

/**
 * Versions follow one another if the time between them is no longer than this many transfers. A
 * watch would return several of them, and the next one more.
 */
const SERIES_TRANSFERS = 1.25;

/** What peers have announced, compared to the active version. */
export const Announcement = {
  /** Nothing, or no earlier than the store's response. */
  NONE: 'none',
  /** The active version, well before the store's response was complete. */
  CURRENT: 'current',
  NEWER: 'newer',
} as const;
export type Announcement = (typeof Announcement)[keyof typeof Announcement];

/** The next request to the store. */
export type NextRead =
  /** Waits for versions newer than the last one. */
  | {readonly kind: 'watch'}
  /** Reads the newest version, after a pause. */
  | {readonly kind: 'newest'; readonly pauseMs: number};

/** The last response of the store. */
export interface BulkAnswer {
  /** Time from the response's head to its last byte. */
  readonly tookMs: number;
  /** True if it contained a version that was not known yet. */
  readonly isNew: boolean;
  readonly announced: Announcement;
  /** Shortest time that may lie between this version and the one before it. */
  readonly gapMs: number;
}

/**
 * Returns the request that follows a response. The pause is as long as the transfer
 * of the response, which leaves half of the link's time to callers. Peers that announced
 * the version before it had arrived here would have announced a newer one by now, unless
 * versions follow one another and arrive as late at the peers as here.
 */
export function chooseNextRead(
  answer: BulkAnswer,
  applyBoundMs: number,
): NextRead {
  const {tookMs, isNew, announced, gapMs} = answer;
  const isLone = gapMs >= tookMs * SERIES_TRANSFERS;
  const isNewest = isLone && announced === Announcement.CURRENT;
  const isWatched = !isNew || isNewest;
  if (isWatched || tookMs < QUICK_MS) return {kind: 'watch'};
  const pauseMs = Math.min(
    tookMs,
    applyBoundMs * MAX_PAUSE_SHARE,
    Math.max(0, applyBoundMs * READ_SHARE - 2 * tookMs),
  );
  return {kind: 'newest', pauseMs};
}
