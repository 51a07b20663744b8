import type {CancelTimer, Clock, Random} from '@lilacledge/shared';
import {formatAddress} from '../model/index.js';
import {entriesOfSidecar, hasPartialView} from './linkPlan.js';
import type {Member} from './membership.js';
import type {Peer} from './peerMesh.js';
import type {EntryPlace} from './peerMessages.js';

/**
 * Changes gather for this long, and up to half as long again, before a sidecar is
 * told: entries come and go in groups, and a sidecar has many links besides.
 */
const GATHER_MS = 1_000;

/** What one sidecar was told, as zones by address. */
interface Told {
  readonly places: Map<string, string>;
  cancelTimer: CancelTimer | undefined;
}

/**
 * Tells sidecars of the entries that they should link to: all of them when a link
 * opens, and afterwards what has changed.
 *
 * Answers the pattern of a broadcast storm: an entry's own link carries its callers'
 * streams, and may be small. The whole list at each change to each sidecar grows with
 * entries, sidecars and changes multiplied, and every stream of the entry waits behind
 * it; what has changed grows with the changes alone.
 */
export class MemberNews {
  private readonly toldTo = new Map<Peer, Told>();

  constructor(
    private readonly members: () => readonly Member[],
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** A link to a sidecar opened. */
  opened(sidecar: Peer): void {
    this.toldTo.set(sidecar, {places: new Map(), cancelTimer: undefined});
    this.tell(sidecar);
  }

  closed(sidecar: Peer): void {
    this.toldTo.get(sidecar)?.cancelTimer?.();
    this.toldTo.delete(sidecar);
  }

  /** Entries came or went. */
  changed(): void {
    for (const [sidecar, told] of this.toldTo) {
      if (told.cancelTimer !== undefined) continue;
      const waitMs = GATHER_MS * (1 + this.random() / 2);
      told.cancelTimer = this.clock.after(waitMs, () => {
        told.cancelTimer = undefined;
        this.tell(sidecar);
      });
    }
  }

  stop(): void {
    for (const {cancelTimer} of this.toldTo.values()) cancelTimer?.();
    this.toldTo.clear();
  }

  private tell(sidecar: Peer): void {
    const told = this.toldTo.get(sidecar);
    if (told === undefined) return;
    const members = this.members();
    const places = placesFor(sidecar.hello.zone, members);
    const entries: EntryPlace[] = [];
    for (const [address, zone] of places) {
      if (!told.places.has(address)) entries.push({address, zone});
      told.places.set(address, zone);
    }
    const gone = [...told.places.keys()].filter((name) => !places.has(name));
    for (const address of gone) told.places.delete(address);
    if (entries.length === 0 && gone.length === 0) return;
    const isZoned = hasPartialView(members.length);
    sidecar.send({type: 'members', entries, gone, isZoned});
  }
}

function placesFor(
  zone: string,
  members: readonly Member[],
): ReadonlyMap<string, string> {
  const chosen = entriesOfSidecar(zone, members);
  return new Map(
    chosen.map((member) => [formatAddress(member.address), member.zone]),
  );
}
