import {rendezvous} from '@lilacledge/shared';

/** What an entry knows of the leave of an endpoint that has ended. */
export interface EndedLeave {
  readonly isLeaving: boolean;
  /** True once it registered that it leaves. */
  readonly hasSaidLeave: boolean;
  /** How long ago its registration went; undefined while it is there. */
  readonly removedAgoMs?: number;
}

/** A registration that goes within this time of an end goes because of it. */
const SAME_EVENT_MS = 500;

/**
 * Whether an endpoint ended as planned, so that nothing that ran there is to blame.
 *
 * Answers two patterns: endpoints that are taken away in turn end with what is still there,
 * some without a word; and where the platform notices an end at once, the registration goes in
 * the same moment. One that leaves serves on for the drain bound, which is longer.
 */
export function endsAsPlanned({
  isLeaving,
  hasSaidLeave,
  removedAgoMs,
}: EndedLeave): boolean {
  if (!isLeaving || hasSaidLeave || removedAgoMs === undefined) {
    return isLeaving;
  }
  return removedAgoMs > SAME_EVENT_MS;
}

/**
 * Whether this entry is the one that tries a request which was given up. All who see the same
 * entries agree, so that a trial ends one endpoint and not one for each entry.
 */
export function makesTrial(
  fingerprint: string,
  self: string,
  members: readonly string[],
): boolean {
  const others = members.filter((name) => name !== self);
  return rendezvous(fingerprint, [self, ...others])[0] === self;
}
