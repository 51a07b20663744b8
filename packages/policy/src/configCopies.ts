/** What an entry knows of the copies of a configuration newer than its active one. */
export interface CopyProgress {
  readonly nowMs: number;
  /** Since when a newer version is known. */
  readonly knownSinceMs: number;
  /** When the store's response last progressed; undefined if none is arriving. */
  readonly storeProgressMs: number | undefined;
  /** When a peer was last asked or last sent a part; undefined if none was asked. */
  readonly peerProgressMs: number | undefined;
}

/** Limits on the wait for a copy. */
export interface CopyLimits {
  /** How long the store has to begin its response before a peer is asked. */
  readonly storeWaitMs: number;
  /** Time without progress after which a copy counts as stalled. */
  readonly stallMs: number;
}

export type NextCopy =
  {readonly kind: 'wait'; readonly forMs: number} | {readonly kind: 'request'};

/**
 * Decides when a peer is asked for a configuration: once the store has had its time and no
 * copy makes progress.
 *
 * Prevents congestion collapse on a narrow link. Copies of one version share the bandwidth
 * and end at about the same time, so a second one delays the first by its whole length; if
 * a slow copy counted as a missing one, each further copy would be the reason for the next.
 */
export function chooseNextCopy(
  {nowMs, knownSinceMs, storeProgressMs, peerProgressMs}: CopyProgress,
  {storeWaitMs, stallMs}: CopyLimits,
): NextCopy {
  const untilMs = Math.max(
    knownSinceMs + storeWaitMs,
    (storeProgressMs ?? Number.NEGATIVE_INFINITY) + stallMs,
    (peerProgressMs ?? Number.NEGATIVE_INFINITY) + stallMs,
  );
  return nowMs < untilMs
    ? {kind: 'wait', forMs: untilMs - nowMs}
    : {kind: 'request'};
}

/** What an entry knows of the copy that a peer sends before it calls the store. */
export interface PeerCopyProgress {
  readonly nowMs: number;
  /** Since when the call waits. */
  readonly waitingSinceMs: number;
  /** When the peer was last asked or last sent a part; undefined if none was asked. */
  readonly peerProgressMs: number | undefined;
}

/** Limits on the wait of a call to the store. */
export interface StoreCallLimits {
  /** Time without progress after which the peer's copy counts as stalled. */
  readonly stallMs: number;
  /** A slow copy of a peer does not keep the store's away for longer. */
  readonly maxWaitMs: number;
}

/**
 * How long a call to the store waits, whose response may be the version that a peer is sending:
 * both would share the link and end at about the same time, twice as late.
 */
export function storeCallWaitMs(
  {nowMs, waitingSinceMs, peerProgressMs}: PeerCopyProgress,
  {stallMs, maxWaitMs}: StoreCallLimits,
): number {
  if (peerProgressMs === undefined) return 0;
  const untilMs = Math.min(
    peerProgressMs + stallMs,
    waitingSinceMs + maxWaitMs,
  );
  return Math.max(0, untilMs - nowMs);
}
