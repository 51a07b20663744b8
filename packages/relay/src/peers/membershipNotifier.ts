import type {CancelTimer, Clock, Random} from '@lilacledge/shared';
import {formatAddress} from '../model/index.js';
import {entriesForSidecar, hasPartialView} from './linkPlan.js';
import type {Member} from './membership.js';
import type {Peer} from './peerMesh.js';
import type {EntryLocation} from './peerMessages.js';

/**
 * Delay for batching changes before a sidecar is notified, plus up to half of it as
 * jitter: entries come and go in groups, and a sidecar has links to many entries.
 */
const BATCH_DELAY_MS = 1_000;

/** A sidecar's state: the entries sent to it so far, as zones by address. */
interface Subscriber {
  readonly zoneByAddress: Map<string, string>;
  cancelTimer: CancelTimer | undefined;
}

/**
 * Notifies sidecars of the entries that they should link to: all of them when a link
 * opens, and only the changes after that.
 *
 * This avoids a broadcast storm. An entry's network link carries its callers' streams and
 * may be slow. Sending the whole list to each sidecar at each change costs entries times
 * sidecars times changes, and delays every stream of the entry; sending only the
 * differences grows with the changes alone.
 */
export class MembershipNotifier {
  private readonly subscribers = new Map<Peer, Subscriber>();

  constructor(
    private readonly members: () => readonly Member[],
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Sends all entries to a sidecar whose link opened. */
  opened(sidecar: Peer): void {
    this.subscribers.set(sidecar, {
      zoneByAddress: new Map(),
      cancelTimer: undefined,
    });
    this.notify(sidecar);
  }

  closed(sidecar: Peer): void {
    this.subscribers.get(sidecar)?.cancelTimer?.();
    this.subscribers.delete(sidecar);
  }

  /** Schedules notifications, since entries were added or removed. */
  changed(): void {
    for (const [sidecar, subscriber] of this.subscribers) {
      if (subscriber.cancelTimer !== undefined) continue;
      const waitMs = BATCH_DELAY_MS * (1 + this.random() / 2);
      subscriber.cancelTimer = this.clock.after(waitMs, () => {
        subscriber.cancelTimer = undefined;
        this.notify(sidecar);
      });
    }
  }

  stop(): void {
    for (const {cancelTimer} of this.subscribers.values()) cancelTimer?.();
    this.subscribers.clear();
  }

  private notify(sidecar: Peer): void {
    const subscriber = this.subscribers.get(sidecar);
    if (subscriber === undefined) return;
    const members = this.members();
    const zoneByAddress = zoneByAddressFor(sidecar.hello.zone, members);
    const entries: EntryLocation[] = [];
    for (const [address, zone] of zoneByAddress) {
      if (!subscriber.zoneByAddress.has(address)) entries.push({address, zone});
      subscriber.zoneByAddress.set(address, zone);
    }
    const gone = [...subscriber.zoneByAddress.keys()].filter(
      (name) => !zoneByAddress.has(name),
    );
    for (const address of gone) subscriber.zoneByAddress.delete(address);
    if (entries.length === 0 && gone.length === 0) return;
    const isZoned = hasPartialView(members.length);
    sidecar.send({type: 'members', entries, gone, isZoned});
  }
}

function zoneByAddressFor(
  zone: string,
  members: readonly Member[],
): ReadonlyMap<string, string> {
  const entries = entriesForSidecar(zone, members);
  return new Map(
    entries.map((member) => [formatAddress(member.address), member.zone]),
  );
}
