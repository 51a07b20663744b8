import {storeCallWaitMs} from '@lilacledge/policy';
import {sleep} from '@lilacledge/shared';
import {STALL_FRACTION} from '../peers/configFetch.js';
import type {ConfigWatcherOptions} from './configWatcherOptions.js';

/** Fraction of the bound for which a call waits at most while a peer's copy arrives. */
const MAX_PEER_COPY_FRACTION = 0.5;

/** How often a waiting call checks whether the peer's copy has arrived. */
const PEER_COPY_CHECK_MS = 50;

/** What tells how long to wait. */
type PeerCopySource = Pick<
  ConfigWatcherOptions,
  'clock' | 'applyBoundMs' | 'peerProgressMs'
>;

/**
 * Waits while a peer's copy makes progress, which would share the link with a response. Returns
 * for how long.
 */
export async function awaitPeerCopy(
  {clock, applyBoundMs, peerProgressMs}: PeerCopySource,
  signal: AbortSignal,
): Promise<number> {
  const waitingSinceMs = clock.nowMs();
  const limits = {
    stallMs: applyBoundMs() * STALL_FRACTION,
    maxWaitMs: applyBoundMs() * MAX_PEER_COPY_FRACTION,
  };
  while (!signal.aborted) {
    const nowMs = clock.nowMs();
    const progress = {
      nowMs,
      waitingSinceMs,
      peerProgressMs: peerProgressMs(),
    };
    const waitMs = storeCallWaitMs(progress, limits);
    if (waitMs === 0) break;
    await sleep(clock, Math.min(waitMs, PEER_COPY_CHECK_MS), signal);
  }
  return clock.nowMs() - waitingSinceMs;
}
