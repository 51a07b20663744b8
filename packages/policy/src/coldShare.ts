import {rendezvous} from '@lilacledge/shared';

/**
 * The sends in any second to one cold endpoint that an entry may make: its part of
 * the rate that the endpoint bears. The parts of all who see the same entries add up
 * to that rate, also where it is below one for each: then those that come first for
 * the endpoint have one, in an order that each works out for itself.
 *
 * Answers the pattern of a cold cache that everyone returns to at once: endpoints that
 * start, or whose zone comes back, bear a fraction of their usual rate and crash above
 * it. No message is needed to agree. `mostSeen` is the most entries seen lately: those
 * whose registrations have lapsed go on sending, and those who are left would divide
 * the whole rate among themselves. The sum is the rate where all see the same, and
 * within 1.5 times the rate and 5 where half of the entries are cut off, or each misses
 * one in twenty of the others.
 */
export function coldShare(
  ratePerS: number,
  self: string,
  members: readonly string[],
  mostSeen: number,
  endpointId: string,
): number {
  const others = members.filter((name) => name !== self);
  const all = [self, ...others];
  const seen = Math.max(mostSeen, all.length);
  const forThese = Math.max(1, Math.floor((ratePerS * all.length) / seen));
  const each = Math.floor(forThese / all.length);
  const rest = forThese - each * all.length;
  if (rest === 0) return each;
  const first = rendezvous(endpointId, all).slice(0, rest);
  return first.includes(self) ? each + 1 : each;
}
