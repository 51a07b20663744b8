import {lastResortUntilMs, LOST_ORDER_TTL_MS} from '@lilacledge/policy';
import type {LeaveNotice} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';
import type {Logger} from '../log/boundedLog.js';
import {eraOf, isSameEra} from '../model/index.js';

/** Evacuation status of an availability zone as of a store revision. */
export interface ZoneStatus {
  readonly zone: string;
  readonly isEvacuated: boolean;
  /** Store revision at which the evacuation order was written or deleted. */
  readonly revision: number;
}

/** Source from which the status of a zone was learned. */
export const EvacuationSource = {STORE: 'store', PEER: 'peer'} as const;
export type EvacuationSource =
  (typeof EvacuationSource)[keyof typeof EvacuationSource];

/** Called when the status of a zone changes in this process. */
export type EvacuationListener = (status: ZoneStatus) => void;

/** Whether the endpoints of a zone may receive work. */
export interface ZoneAvailability {
  /** True while an operator's order forbids new work in the zone. */
  isEvacuated(zone: string): boolean;
  /** True if work may still be sent to the zone, possibly only as a last resort. */
  mayGetWork(zone: string, nowMs: number): boolean;
  /** When this process learned that the zone's last order ended, if it did. */
  evacuationEndedAtMs(zone: string): number | undefined;
}

/** Used where zones are never evacuated. */
export const NO_EVACUATIONS: ZoneAvailability = {
  isEvacuated: () => false,
  mayGetWork: () => true,
  evacuationEndedAtMs: () => undefined,
};

interface KnownZone {
  readonly status: ZoneStatus;
  /** First notice of the current order from each kind of source. */
  readonly notices: readonly LeaveNotice[];
  readonly endedAtMs?: number;
}

/**
 * Availability zones that operators have evacuated. From the first notice of an order on,
 * new work goes elsewhere; the zone remains a last resort for part of the permitted time,
 * which is counted as for a leaving endpoint.
 *
 * Orders come from the store and from other entries, and the highest revision wins. An
 * order that a complete read of the store did not contain has ended, even if a peer
 * reports it later. So an entry that alone cannot reach the store neither misses orders
 * known to its peers nor revives orders that have ended. If the store was restored since the
 * order was written, the order may have been lost and stays in force for a while.
 */
export class ZoneEvacuations implements ZoneAvailability {
  private readonly zones = new Map<string, KnownZone>();
  private readonly listeners: EvacuationListener[] = [];
  /** Revisions of the orders that a restored store lacks, by zone. */
  private readonly lostOrders = new Map<string, number>();
  /** All orders up to this store revision have been read. */
  private knownRevision = -1;

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    /** Longest time for which work may be sent to an evacuated zone. */
    private readonly boundMs: () => number,
  ) {}

  /** Number of evacuated zones. */
  get size(): number {
    return this.statuses.filter(({isEvacuated}) => isEvacuated).length;
  }

  /** Status of all zones that were ever evacuated. */
  get statuses(): ZoneStatus[] {
    return [...this.zones.values()].map(({status}) => status);
  }

  onChange(listener: EvacuationListener): void {
    this.listeners.push(listener);
  }

  isEvacuated(zone: string): boolean {
    return this.zones.get(zone)?.status.isEvacuated ?? false;
  }

  mayGetWork(zone: string, nowMs: number): boolean {
    const notices = this.zones.get(zone)?.notices ?? [];
    const boundMs = this.boundMs();
    return notices.every(
      (notice) => nowMs < lastResortUntilMs(notice, boundMs),
    );
  }

  evacuationEndedAtMs(zone: string): number | undefined {
    return this.zones.get(zone)?.endedAtMs;
  }

  /** Applies an order in the store, which held none at `unchangedAtMs`. */
  noteOrdered(zone: string, revision: number, unchangedAtMs: number): void {
    const status = {zone, isEvacuated: true, revision};
    this.applyStatus(status, EvacuationSource.STORE, {
      kind: 'stored',
      clearMs: unchangedAtMs,
    });
  }

  /** Applies the deletion of an order from the store. */
  noteEnded(zone: string, revision: number): void {
    const status = {zone, isEvacuated: false, revision};
    this.applyStatus(status, EvacuationSource.STORE);
  }

  /** Records that all changes in the store up to a revision have been applied. */
  noteKnownUpTo(revision: number): void {
    this.knownRevision = Math.max(this.knownRevision, revision);
  }

  /** Applies a complete read of the store, which holds orders for exactly these zones. */
  noteRead(zones: ReadonlySet<string>, revision: number): void {
    for (const {zone, isEvacuated, revision: since} of this.statuses) {
      if (!isEvacuated || zones.has(zone) || since > revision) continue;
      if (isSameEra(since, revision)) this.noteEnded(zone, revision);
      else this.endLostOrder(zone, since);
    }
    this.noteKnownUpTo(revision);
  }

  /** Applies a status received from another entry. */
  notePeerStatus(status: ZoneStatus): void {
    const isOfEarlierEra = eraOf(status.revision) < eraOf(this.knownRevision);
    const mayBeLost = status.isEvacuated && isOfEarlierEra;
    if (status.revision <= this.knownRevision && !mayBeLost) return;
    const atMs = this.clock.nowMs();
    this.applyStatus(status, EvacuationSource.PEER, {kind: 'told', atMs});
    if (mayBeLost) this.endLostOrder(status.zone, status.revision);
  }

  /** Ends an order of an earlier era later, unless it is written again until then. */
  private endLostOrder(zone: string, revision: number): void {
    if (this.lostOrders.get(zone) === revision) return;
    this.lostOrders.set(zone, revision);
    this.clock.after(LOST_ORDER_TTL_MS, () => {
      if (this.lostOrders.get(zone) === revision) this.lostOrders.delete(zone);
      if (this.zones.get(zone)?.status.revision !== revision) return;
      this.noteEnded(zone, this.knownRevision);
    });
  }

  private applyStatus(
    status: ZoneStatus,
    source: EvacuationSource,
    notice?: LeaveNotice,
  ): void {
    const known = this.zones.get(status.zone);
    const wasEvacuated = known?.status.isEvacuated ?? false;
    if (known !== undefined && status.revision < known.status.revision) return;
    const isSameOrder = wasEvacuated && status.isEvacuated;
    const before = isSameOrder ? known!.notices : [];
    const isNewKind = before.every(({kind}) => kind !== notice?.kind);
    const added = status.isEvacuated && isNewKind && notice ? [notice] : [];
    const isEnd = wasEvacuated && !status.isEvacuated;
    const endedAtMs = isEnd ? this.clock.nowMs() : known?.endedAtMs;
    const notices = [...before, ...added];
    this.zones.set(status.zone, {status, notices, endedAtMs});
    if (status.isEvacuated === wasEvacuated) return;
    this.notifyListeners(status, source, notice);
  }

  private notifyListeners(
    status: ZoneStatus,
    source: EvacuationSource,
    notice: LeaveNotice | undefined,
  ): void {
    const nowMs = this.clock.nowMs();
    const {zone, revision, isEvacuated} = status;
    const event = isEvacuated ? 'zone.evacuated' : 'zone.takenBack';
    this.log.info(event, {
      zone,
      source,
      revision,
      unseenForMs:
        notice?.kind === 'stored'
          ? Math.round(nowMs - notice.clearMs)
          : undefined,
    });
    for (const listener of this.listeners) listener(status);
  }
}
