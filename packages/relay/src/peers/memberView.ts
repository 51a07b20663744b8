import type {Member} from './membership.js';

/** Whether a link to an entry is open. */
export type LinkCheck = (instance: string) => boolean;

interface Known {
  readonly member: Member;
  /** False once the store has dropped its registration. */
  isRegistered: boolean;
}

/**
 * The entries of the fleet, as the store and the own links show them. A registration
 * lapses when its entry is cut from the store for longer than its lease; an entry that
 * can be reached over an open link is still there, and stays a member until the link
 * ends. Else entries that the store alone turns away would cost the fleet two
 * rounds of new links: one when they lapse and one when they are back.
 */
export class MemberView {
  private readonly known = new Map<string, Known>();

  constructor(private readonly isLinked: LinkCheck) {}

  get size(): number {
    return this.known.size;
  }

  get all(): Member[] {
    return [...this.known.values()].map(({member}) => member);
  }

  /** An entry registered itself; true when that changes who is there. */
  noteRegistered(member: Member): boolean {
    const before = this.known.get(member.instance)?.member;
    this.known.set(member.instance, {member, isRegistered: true});
    return before === undefined || !isSamePlace(before, member);
  }

  /** The store dropped a registration; true when that changes who is there. */
  noteLapsed(instance: string): boolean {
    const known = this.known.get(instance);
    if (known === undefined) return false;
    known.isRegistered = false;
    return this.dropIfGone(instance, known);
  }

  /** A link to an entry ended; true when that changes who is there. */
  noteUnlinked(instance: string): boolean {
    const known = this.known.get(instance);
    if (known === undefined || known.isRegistered) return false;
    return this.dropIfGone(instance, known);
  }

  private dropIfGone(instance: string, known: Known): boolean {
    if (known.isRegistered || this.isLinked(instance)) return false;
    return this.known.delete(instance);
  }
}

function isSamePlace(a: Member, b: Member): boolean {
  return (
    a.zone === b.zone &&
    a.address.host === b.address.host &&
    a.address.port === b.address.port
  );
}
