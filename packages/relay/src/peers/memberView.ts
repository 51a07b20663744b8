import type {Member} from './membership.js';

/** Returns whether a link to an entry is open. */
export type IsLinked = (instance: string) => boolean;

interface TrackedMember {
  readonly member: Member;
  /** False once its registration in the store has expired. */
  isRegistered: boolean;
}

/**
 * Tracks the entries of the fleet, by their registrations and the open links to them. A
 * registration expires when its entry cannot reach the store for longer than its lease.
 * Such an entry stays a member while a link to it is open. Otherwise the fleet would
 * replan its links twice for entries that only the store rejects: when their
 * registrations expire and when they are renewed.
 */
export class MemberView {
  private readonly known = new Map<string, TrackedMember>();

  constructor(private readonly isLinked: IsLinked) {}

  get size(): number {
    return this.known.size;
  }

  get all(): Member[] {
    return [...this.known.values()].map(({member}) => member);
  }

  /** An entry registered itself; returns whether that changes the members. */
  noteRegistered(member: Member): boolean {
    const before = this.known.get(member.instance)?.member;
    this.known.set(member.instance, {member, isRegistered: true});
    return before === undefined || !hasSameLocation(before, member);
  }

  /** A registration expired; returns whether that changes the members. */
  noteExpired(instance: string): boolean {
    const known = this.known.get(instance);
    if (known === undefined) return false;
    known.isRegistered = false;
    return this.removeIfUnreachable(instance, known);
  }

  /** A link to an entry closed; returns whether that changes the members. */
  noteLinkClosed(instance: string): boolean {
    const known = this.known.get(instance);
    if (known === undefined || known.isRegistered) return false;
    return this.removeIfUnreachable(instance, known);
  }

  private removeIfUnreachable(instance: string, known: TrackedMember): boolean {
    if (known.isRegistered || this.isLinked(instance)) return false;
    return this.known.delete(instance);
  }
}

function hasSameLocation(a: Member, b: Member): boolean {
  return (
    a.zone === b.zone &&
    a.address.host === b.address.host &&
    a.address.port === b.address.port
  );
}
