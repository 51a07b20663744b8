import type {Clock} from '@lilacledge/shared';
import type {Peer} from './peerMesh.js';
import {PeerRole, readsType} from './peerMessages.js';
import type {SaturationNotice} from './peerMessages.js';

/** How long a notice counts; an entry that stays saturated renews it. */
const NOTICE_MS = 3_000;
const RENEWAL_MS = 1_000;

/** Fewer entries of the own zone than this show nothing about the zone. */
const MIN_ZONE_SAMPLE = 2;

/** Tells linked entries whether this one is saturated, and knows which of them are. */
export class PeerSaturation {
  private readonly saturatedUntilMs = new Map<string, number>();
  private wasSaturated = false;
  private sentAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly clock: Clock,
    private readonly ownZone: string,
    /** The processes that are linked now. */
    private readonly peers: () => Iterable<Peer>,
    /** Availability zones of all entries, this one included. */
    private readonly zonesOfEntries: () => Iterable<string>,
  ) {}

  /** Notes the state of this entry; sends it to the linked entries if it changed or is due. */
  noteOwn(isSaturated: boolean): void {
    const nowMs = this.clock.nowMs();
    const isDue = isSaturated && nowMs - this.sentAtMs >= RENEWAL_MS;
    if (isSaturated === this.wasSaturated && !isDue) return;
    this.wasSaturated = isSaturated;
    this.sentAtMs = nowMs;
    const forMs = isSaturated ? NOTICE_MS : 0;
    for (const {hello, send} of this.linkedEntries()) {
      if (readsType(hello, 'saturation')) send({type: 'saturation', forMs});
    }
  }

  /** A linked entry told its state. */
  receive({hello}: Peer, {forMs}: SaturationNotice): void {
    const countedMs = Math.min(forMs, NOTICE_MS);
    this.saturatedUntilMs.set(hello.instance, this.clock.nowMs() + countedMs);
  }

  /** A link closed: nothing is known of that entry any more. */
  noteClosed({hello}: Peer): void {
    this.saturatedUntilMs.delete(hello.instance);
  }

  /**
   * Share of the linked entries that are saturated, 0 to 1; of those of the own zone if
   * there are enough, as callers mostly retry within their zone. 1 for the only entry: nobody
   * else has room.
   */
  get saturatedShare(): number {
    const linked = [...this.linkedEntries()];
    const ofZone = linked.filter(({hello}) => hello.zone === this.ownZone);
    const sample = ofZone.length >= MIN_ZONE_SAMPLE ? ofZone : linked;
    if (sample.length === 0) return this.isOnlyEntry ? 1 : 0;
    const nowMs = this.clock.nowMs();
    const saturated = sample.filter(
      ({hello}) => (this.saturatedUntilMs.get(hello.instance) ?? 0) > nowMs,
    );
    return saturated.length / sample.length;
  }

  /** True if callers that are sent away would come back, as they mostly retry within their zone. */
  get isAloneInZone(): boolean {
    for (const {hello} of this.linkedEntries()) {
      if (hello.zone === this.ownZone) return false;
    }
    const ofZone = [...this.zonesOfEntries()].filter(
      (zone) => zone === this.ownZone,
    );
    return ofZone.length <= 1;
  }

  /** True if this entry is known to be the only one. */
  private get isOnlyEntry(): boolean {
    return [...this.zonesOfEntries()].length === 1;
  }

  private *linkedEntries(): Iterable<Peer> {
    for (const peer of this.peers()) {
      if (peer.hello.role === PeerRole.ENTRY) yield peer;
    }
  }
}
