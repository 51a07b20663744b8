import {rendezvous} from '@lilacledge/shared';

/**
 * This entry's share of the `sends` that all entries together may make to one endpoint in a
 * window. The shares of entries with the same view add up to `sends`, even if there are fewer
 * sends than entries: rendezvous hashing then decides which entries get one, without messages.
 *
 * Limits the rate at which all clients return to a cold cache, and keeps clients from each
 * using the full rate of an overloaded server. `peakCount` is the highest number of entries
 * seen recently: entries whose registrations expired keep sending, and the others must not
 * divide their share among themselves. The sum is at most 1.5 times `sends` plus 5 if half of
 * the entries are partitioned, or if each misses one in twenty of the others.
 */
export function sendShare(
  sends: number,
  self: string,
  members: readonly string[],
  peakCount: number,
  endpointId: string,
): number {
  const others = members.filter((name) => name !== self);
  const all = [self, ...others];
  const count = Math.max(peakCount, all.length);
  const visibleSends = Math.max(1, Math.floor((sends * all.length) / count));
  const each = Math.floor(visibleSends / all.length);
  const remainder = visibleSends - each * all.length;
  if (remainder === 0) return each;
  const first = rendezvous(endpointId, all).slice(0, remainder);
  return first.includes(self) ? each + 1 : each;
}
