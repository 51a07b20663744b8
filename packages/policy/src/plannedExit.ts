import {rendezvous} from '@lilacledge/shared';

/** What an entry knows about the shutdown of an endpoint that has exited. */
export interface EndpointExit {
  readonly isLeaving: boolean;
  /** True once its registration said that it was leaving. */
  readonly hasSaidLeave: boolean;
  /** How long ago its registration was removed; undefined while it is registered. */
  readonly removedAgoMs?: number;
}

/** A registration removed within this time of the exit was removed because of the exit. */
const CRASH_DEREGISTRATION_MS = 500;

/**
 * Whether the exit of an endpoint was planned, so that no request that ran there caused it.
 *
 * During a rolling restart endpoints exit while requests still run, some without announcing
 * it. A platform that detects a crash at once removes the registration in the same moment; an
 * endpoint that leaves keeps serving for the drain time, which is longer.
 */
export function isPlannedExit({
  isLeaving,
  hasSaidLeave,
  removedAgoMs,
}: EndpointExit): boolean {
  if (!isLeaving || hasSaidLeave || removedAgoMs === undefined) {
    return isLeaving;
  }
  return removedAgoMs > CRASH_DEREGISTRATION_MS;
}

/**
 * Whether this entry is the one that retries a quarantined request. All entries with the same
 * view agree, so that a failing trial crashes one endpoint and not one per entry.
 */
export function isChosenForTrial(
  fingerprint: string,
  self: string,
  members: readonly string[],
): boolean {
  const others = members.filter((name) => name !== self);
  return rendezvous(fingerprint, [self, ...others])[0] === self;
}
