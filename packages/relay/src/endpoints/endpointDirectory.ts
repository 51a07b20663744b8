import {DoubtCause, lapseEndsMs, ViewState} from '@lilacledge/policy';
import type {Doubt, StoreReturn} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';
import type {DecisionLogger} from '../log/boundedLog.js';
import {formatAddress} from '../model/index.js';
import type {EndpointRecord} from '../model/index.js';
import {Endpoint, LeaveSource} from './endpoint.js';

/**
 * An endpoint whose entry is gone is known for this much longer: until then it may
 * be a last resort, for as long as `Endpoint.mayGetWork` allows. Below the tightest
 * bound on work for a leaving endpoint (2 s).
 */
const LAST_RESORT_MS = 1_500;

/**
 * A process that doubts more than this share of a service is likely to be cut
 * off itself: its doubts are not worth telling.
 */
const MOST_DOUBTED_SHARE = 0.34;

/**
 * Doubts that other entries should hear of. A silence may be this process's own
 * fault; errors come in clusters by chance where a service answers one call in
 * seven with one, and two of three plain endpoints would be left.
 */
const TOLD_CAUSES: ReadonlySet<DoubtCause> = new Set([
  DoubtCause.RESET,
  DoubtCause.PEER,
]);

/** A store that came back this recently may still miss entries. */
const STORE_UNSETTLED_MS = 3_000;

/** Since when the store answers this process, or does not. */
export interface StoreContact {
  /** How long the store has answered; undefined while it does not. */
  readonly answersForMs: number | undefined;
  /** How long the store has not answered; 0 while it does. */
  readonly awayForMs: number;
}

/** Hears of an endpoint that is to be avoided for some time. */
export type DoubtListener = (endpoint: Endpoint, forMs: number) => void;

/** All endpoints that this process knows, by id and by service. */
export class EndpointDirectory {
  private readonly byId = new Map<string, Endpoint>();
  private readonly byService = new Map<string, Set<Endpoint>>();
  private readonly leaveListeners: Array<(endpoint: Endpoint) => void> = [];
  private readonly doubtListeners: DoubtListener[] = [];
  private readonly seenListeners = new Set<(service: string) => void>();
  private returnedAtMs: number | undefined;
  /** Until when a missing registration may be one that lapsed. */
  private lapseEndsMs = Number.NEGATIVE_INFINITY;
  private lostAtMs: number;

  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLogger,
  ) {
    this.lostAtMs = clock.nowMs();
  }

  get size(): number {
    return this.byId.size;
  }

  get(id: string): Endpoint | undefined {
    return this.byId.get(id);
  }

  all(): Iterable<Endpoint> {
    return this.byId.values();
  }

  /** All endpoints of a service, leaving ones too. */
  ofService(service: string): Iterable<Endpoint> {
    return this.byService.get(service) ?? [];
  }

  /** How current the view is, for the services that callers may ask for. */
  viewOf(services: readonly string[]): ViewState {
    if (services.some((service) => this.isLacking(service))) {
      return ViewState.LACKING;
    }
    return this.isUnsettled ? ViewState.UNSETTLED : ViewState.SETTLED;
  }

  /** True while registrations may be missing that come back by themselves. */
  private get isUnsettled(): boolean {
    const {returnedAtMs} = this;
    if (returnedAtMs === undefined) return false;
    return this.clock.nowMs() < returnedAtMs + STORE_UNSETTLED_MS;
  }

  /** Since when the store answers, or does not. */
  get storeContact(): StoreContact {
    const nowMs = this.clock.nowMs();
    const {returnedAtMs, lostAtMs} = this;
    if (returnedAtMs === undefined || returnedAtMs < lostAtMs) {
      return {answersForMs: undefined, awayForMs: nowMs - lostAtMs};
    }
    return {answersForMs: nowMs - returnedAtMs, awayForMs: 0};
  }

  /** Calls `listener` when an endpoint of the service is seen; once at most. */
  onceSeen(service: string, listener: () => void): () => void {
    const own = (seen: string): void => {
      if (seen !== service) return;
      this.seenListeners.delete(own);
      listener();
    };
    this.seenListeners.add(own);
    return () => this.seenListeners.delete(own);
  }

  /** True when all endpoints of the service leave, or none is known. */
  private isLacking(service: string): boolean {
    return [...this.ofService(service)].every(({isLeaving}) => isLeaving);
  }

  /** The newest endpoint that registered an address. */
  atAddress(address: string): Endpoint | undefined {
    let found: Endpoint | undefined;
    for (const endpoint of this.byId.values()) {
      if (formatAddress(endpoint.record.address) === address) found = endpoint;
    }
    return found;
  }

  /** Calls `listener` once for each endpoint that begins to leave. */
  onLeaving(listener: (endpoint: Endpoint) => void): void {
    this.leaveListeners.push(listener);
  }

  /** Calls `listener` for each doubt that other entries should hear of. */
  onDoubtToTell(listener: DoubtListener): void {
    this.doubtListeners.push(listener);
  }

  /**
   * The store answers again; entries may be missing for a while. `settleMs` after
   * the end of what was wrong, the bounds hold again.
   */
  noteStoreReturned(seen: StoreReturn, settleMs: number): void {
    this.returnedAtMs = seen.atMs;
    const endsMs = lapseEndsMs(seen, settleMs);
    this.lapseEndsMs = Math.max(this.lapseEndsMs, endsMs);
  }

  /** The store stopped answering. */
  noteStoreLost(): void {
    this.lostAtMs = this.clock.nowMs();
  }

  /**
   * An endpoint registered itself, or changed its registration, at `madeMs` at the
   * earliest.
   */
  upsert(
    record: EndpointRecord,
    revision: number,
    madeMs = this.clock.nowMs(),
  ): void {
    const nowMs = this.clock.nowMs();
    const known = this.byId.get(record.id);
    if (known !== undefined) {
      known.revision = revision;
      const isLeaving = known.update(record, nowMs, madeMs);
      if (isLeaving) this.tell(known, LeaveSource.STORE);
      return;
    }
    const endpoint = new Endpoint(record, nowMs, (doubted, doubt) => {
      this.noteDoubt(doubted, doubt);
    });
    endpoint.revision = revision;
    if (this.isSuperseded(endpoint)) return;
    this.byId.set(record.id, endpoint);
    const group = this.byService.get(record.service) ?? new Set();
    group.add(endpoint);
    this.byService.set(record.service, group);
    this.log.info('endpoint.seen', {
      endpoint: record.id,
      service: record.service,
      zone: record.zone,
      address: formatAddress(record.address),
      state: record.state,
    });
    const isLeaving = endpoint.update(record, nowMs, madeMs);
    if (isLeaving) this.tell(endpoint, LeaveSource.STORE);
    else for (const listener of this.seenListeners) listener(record.service);
  }

  /**
   * Entries of endpoints that died with the store away stay for a while beside
   * those that have their addresses now: the later registration is the true one.
   */
  private isSuperseded(added: Endpoint): boolean {
    const address = formatAddress(added.record.address);
    for (const other of this.byId.values()) {
      if (formatAddress(other.record.address) !== address) continue;
      if (other.revision > added.revision) return true;
      this.noteReplaced(other);
    }
    return false;
  }

  /** The store no longer has the entry, which went at `madeMs` at the earliest. */
  remove(id: string, madeMs = this.clock.nowMs()): void {
    const endpoint = this.byId.get(id);
    if (endpoint === undefined || endpoint.removedAtMs !== undefined) return;
    const nowMs = this.clock.nowMs();
    endpoint.removedAtMs = nowMs;
    const lapseMs = this.lapseEndsMs - nowMs;
    if (lapseMs > 0 && !endpoint.isLeaving) {
      const keptMs = Math.round(lapseMs);
      this.log.info('endpoint.lapsed', {endpoint: id, keptMs});
      this.clock.after(lapseMs, () => this.drop(endpoint));
      return;
    }
    if (endpoint.noteLeaving(madeMs)) {
      this.tell(endpoint, LeaveSource.REMOVED);
    }
    this.clock.after(LAST_RESORT_MS, () => this.drop(endpoint));
  }

  /** An endpoint is known to leave, from any source. */
  noteLeaving(
    endpoint: Endpoint,
    source: LeaveSource,
    leavesInMs?: number,
  ): void {
    const nowMs = this.clock.nowMs();
    const leavesAtMs =
      leavesInMs === undefined ? undefined : nowMs + leavesInMs;
    if (endpoint.noteLeaving(nowMs, leavesAtMs)) this.tell(endpoint, source);
  }

  /** The address answers for another incarnation: this one has ended. */
  noteReplaced(endpoint: Endpoint): void {
    this.noteLeaving(endpoint, LeaveSource.ANSWER);
    endpoint.removedAtMs ??= this.clock.nowMs();
    this.drop(endpoint);
  }

  private noteDoubt(endpoint: Endpoint, doubt: Doubt): void {
    const {service} = endpoint.record;
    const {cause, forMs} = doubt;
    const group = [...this.ofService(service)];
    const nowMs = this.clock.nowMs();
    const doubted = group.filter(({health}) => health.isDoubted(nowMs)).length;
    this.log.info('endpoint.doubted', {
      endpoint: endpoint.id,
      service,
      cause,
      forMs,
      doubted,
      endpoints: group.length,
    });
    const isMostOfService =
      doubted > Math.max(1, group.length * MOST_DOUBTED_SHARE);
    if (!TOLD_CAUSES.has(cause) || isMostOfService) return;
    for (const listener of this.doubtListeners) listener(endpoint, forMs);
  }

  private tell(endpoint: Endpoint, source: LeaveSource): void {
    this.log.info('endpoint.leaving', {
      endpoint: endpoint.id,
      service: endpoint.record.service,
      source,
      open: endpoint.outstanding,
      unseenForMs: Math.round(
        this.clock.nowMs() - (endpoint.leavingSinceMs ?? 0),
      ),
    });
    for (const listener of this.leaveListeners) listener(endpoint);
  }

  private drop(endpoint: Endpoint): void {
    if (endpoint.removedAtMs === undefined) return;
    if (this.byId.get(endpoint.id) !== endpoint) return;
    this.byId.delete(endpoint.id);
    this.byService.get(endpoint.record.service)?.delete(endpoint);
    this.log.info('endpoint.gone', {
      endpoint: endpoint.id,
      service: endpoint.record.service,
      open: endpoint.outstanding,
    });
  }
}
