import {lastWorkEndsMs} from '@lilacledge/policy';
import type {LeaveNews} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';
import type {DecisionLogger} from '../log/boundedLog.js';

/** What is known of one availability zone, as of a revision of the store. */
export interface ZoneStatus {
  readonly zone: string;
  readonly isEvacuated: boolean;
  /** The store's revision of the order, or of its end. */
  readonly revision: number;
}

/** Where the status of a zone was learned. */
export const EvacuationSource = {STORE: 'store', PEER: 'peer'} as const;
export type EvacuationSource =
  (typeof EvacuationSource)[keyof typeof EvacuationSource];

/** Hears of a zone whose status has changed here. */
export type EvacuationListener = (status: ZoneStatus) => void;

/** What endpoints ask of their zone. */
export interface ZoneWork {
  /** True while an operator wants nothing new to be sent to the zone. */
  isEvacuated(zone: string): boolean;
  /** True while work may still go there, if only as a last resort. */
  mayGetWork(zone: string, nowMs: number): boolean;
  /** When the last order for the zone ended, as it was learned; undefined before. */
  takenBackAtMs(zone: string): number | undefined;
}

/** Zones of a deployment in which none is ever evacuated. */
export const NO_EVACUATIONS: ZoneWork = {
  isEvacuated: () => false,
  mayGetWork: () => true,
  takenBackAtMs: () => undefined,
};

interface Known {
  readonly status: ZoneStatus;
  /** How the order was learned, in each of the ways; empty once it has ended. */
  readonly news: readonly LeaveNews[];
  readonly endedAtMs?: number;
}

/**
 * The availability zones that operators have evacuated. New work goes elsewhere from
 * the first word on; the zone is a last resort for part of the bound, counted as for
 * an endpoint that leaves. The store and other entries both tell of orders: what has
 * the highest revision is true, and what a whole reading of the store did not have is
 * over, whoever tells of it later.
 *
 * Answers the pattern of stale orders: an entry that the store alone turns away
 * neither misses an order that its peers know nor brings back one that has ended.
 */
export class ZoneEvacuations implements ZoneWork {
  private readonly zones = new Map<string, Known>();
  private readonly listeners: EvacuationListener[] = [];
  /** All orders up to this revision of the store are known. */
  private knownRevision = -1;

  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLogger,
    /** Longest time for which work may go to an evacuated zone, in milliseconds. */
    private readonly boundMs: () => number,
  ) {}

  /** Number of zones that are evacuated. */
  get size(): number {
    return this.statuses.filter(({isEvacuated}) => isEvacuated).length;
  }

  /** What is known of all zones that were ever evacuated. */
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
    const news = this.zones.get(zone)?.news ?? [];
    const boundMs = this.boundMs();
    return news.every((word) => nowMs < lastWorkEndsMs(word, boundMs));
  }

  takenBackAtMs(zone: string): number | undefined {
    return this.zones.get(zone)?.endedAtMs;
  }

  /** The store has an order, and had none at `clearMs`. */
  noteOrdered(zone: string, revision: number, clearMs: number): void {
    const status = {zone, isEvacuated: true, revision};
    this.note(status, EvacuationSource.STORE, {kind: 'stored', clearMs});
  }

  /** The store no longer has an order. */
  noteEnded(zone: string, revision: number): void {
    const status = {zone, isEvacuated: false, revision};
    this.note(status, EvacuationSource.STORE);
  }

  /** All that the store had up to a revision was told. */
  noteKnownUpTo(revision: number): void {
    this.knownRevision = Math.max(this.knownRevision, revision);
  }

  /** The store was read whole at a revision, and has orders for these zones alone. */
  noteRead(zones: ReadonlySet<string>, revision: number): void {
    for (const {zone, isEvacuated, revision: since} of this.statuses) {
      if (!isEvacuated || zones.has(zone) || since > revision) continue;
      this.noteEnded(zone, revision);
    }
    this.noteKnownUpTo(revision);
  }

  /** Another entry told of a zone. */
  noteTold(status: ZoneStatus): void {
    if (status.revision <= this.knownRevision) return;
    const atMs = this.clock.nowMs();
    this.note(status, EvacuationSource.PEER, {kind: 'told', atMs});
  }

  private note(
    status: ZoneStatus,
    source: EvacuationSource,
    word?: LeaveNews,
  ): void {
    const known = this.zones.get(status.zone);
    const wasEvacuated = known?.status.isEvacuated ?? false;
    if (known !== undefined && status.revision < known.status.revision) return;
    const isSameOrder = wasEvacuated && status.isEvacuated;
    const before = isSameOrder ? known!.news : [];
    const isNewWord = before.every(({kind}) => kind !== word?.kind);
    const added = status.isEvacuated && isNewWord && word ? [word] : [];
    const isEnd = wasEvacuated && !status.isEvacuated;
    const endedAtMs = isEnd ? this.clock.nowMs() : known?.endedAtMs;
    const news = [...before, ...added];
    this.zones.set(status.zone, {status, news, endedAtMs});
    if (status.isEvacuated === wasEvacuated) return;
    this.tell(status, source, word);
  }

  private tell(
    status: ZoneStatus,
    source: EvacuationSource,
    word: LeaveNews | undefined,
  ): void {
    const nowMs = this.clock.nowMs();
    const {zone, revision, isEvacuated} = status;
    const event = isEvacuated ? 'zone.evacuated' : 'zone.takenBack';
    this.log.info(event, {
      zone,
      source,
      revision,
      unseenForMs:
        word?.kind === 'stored' ? Math.round(nowMs - word.clearMs) : undefined,
    });
    for (const listener of this.listeners) listener(status);
  }
}
