import {DoubtCause, Succession, ViewState} from '@lilacledge/policy';
import type {Doubt, StoreReturn} from '@lilacledge/policy';
import {assertNever} from '@lilacledge/shared';
import type {Clock} from '@lilacledge/shared';
import type {DecisionLogger} from '../log/boundedLog.js';
import {formatAddress} from '../model/index.js';
import type {EndpointRecord} from '../model/index.js';
import {ALL_ON} from '../switches.js';
import type {Switches} from '../switches.js';
import {Endpoint, LeaveSource} from './endpoint.js';
import {Lives} from './lives.js';
import {StoreContactHistory} from './storeContact.js';
import type {StoreContact} from './storeContact.js';
import {NO_EVACUATIONS} from './zoneEvacuations.js';
import type {ZoneWork} from './zoneEvacuations.js';

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

/** Hears of an endpoint that is to be avoided for some time. */
export type DoubtListener = (endpoint: Endpoint, forMs: number) => void;

/** All endpoints that this process knows, by id and by service. */
export class EndpointDirectory {
  private readonly byId = new Map<string, Endpoint>();
  private readonly byService = new Map<string, Set<Endpoint>>();
  private readonly leaveListeners: Array<(endpoint: Endpoint) => void> = [];
  private readonly doubtListeners: DoubtListener[] = [];
  private readonly candidateListeners: Array<() => void> = [];
  private readonly seenListeners = new Set<(service: string) => void>();
  private readonly contact: StoreContactHistory;
  private readonly lives: Lives;

  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLogger,
    private readonly switches: Switches = ALL_ON,
    private readonly zones: ZoneWork = NO_EVACUATIONS,
  ) {
    this.contact = new StoreContactHistory(clock);
    this.lives = new Lives(clock);
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
    return this.contact.isUnsettled ? ViewState.UNSETTLED : ViewState.SETTLED;
  }

  /** Since when the store answers, or does not. */
  get storeContact(): StoreContact {
    return this.contact.now;
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

  /** True when no endpoint of the service stays, or none is known. */
  private isLacking(service: string): boolean {
    return [...this.ofService(service)].every(({isCandidate}) => !isCandidate);
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

  /** Calls `listener` whenever an endpoint becomes a candidate. */
  onCandidate(listener: () => void): void {
    this.candidateListeners.push(listener);
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
    this.contact.noteReturned(seen, settleMs);
  }

  /** The store stopped answering. */
  noteStoreLost(): void {
    this.contact.noteLost();
  }

  /**
   * An endpoint registered itself, or changed its registration, after `clearMs`.
   */
  upsert(
    record: EndpointRecord,
    revision: number,
    clearMs = this.clock.nowMs(),
  ): void {
    const {id} = record;
    const known = this.byId.get(id);
    if (known !== undefined && revision < known.revision) return;
    const told = this.lives.successionOf(known, record);
    switch (told) {
      case Succession.SAME:
        if (known === undefined) this.add(record, revision, clearMs);
        else this.refresh(known, record, revision, clearMs);
        return;
      case Succession.LATER:
        if (known !== undefined) this.end(known);
        this.add(record, revision, clearMs);
        return;
      case Succession.FORMER:
      case Succession.UNPROVEN:
        this.log.warn('endpoint.outdated', {
          endpoint: id,
          cause: told,
          startedAtMs: record.startedAtMs,
          knownStartedAtMs: known?.record.startedAtMs,
        });
        if (told === Succession.UNPROVEN) this.disown(id);
        return;
      default:
        assertNever(told);
    }
  }

  /** The key of an endpoint holds an entry that names none. */
  disown(id: string): void {
    const known = this.byId.get(id);
    if (known === undefined || known.isDisowned) return;
    known.isDisowned = true;
    this.log.warn('endpoint.disowned', {
      endpoint: id,
      service: known.record.service,
      open: known.outstanding,
    });
  }

  /** Another life of the same id, or of another, has taken its place. */
  private end(endpoint: Endpoint): void {
    endpoint.hasEnded = true;
    endpoint.cancelDrop();
    this.log.info('endpoint.ended', {
      endpoint: endpoint.id,
      service: endpoint.record.service,
      startedAtMs: endpoint.record.startedAtMs,
      open: endpoint.outstanding,
    });
    this.forget(endpoint);
  }

  private add(record: EndpointRecord, revision: number, clearMs: number): void {
    const nowMs = this.clock.nowMs();
    const endpoint = new Endpoint(
      record,
      nowMs,
      (doubted, doubt) => this.noteDoubt(doubted, doubt),
      this.switches,
      this.zones,
      this.lives.termsOf(record),
    );
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
      startedAtMs: record.startedAtMs,
    });
    this.refresh(endpoint, record, revision, clearMs, true);
  }

  private refresh(
    endpoint: Endpoint,
    record: EndpointRecord,
    revision: number,
    clearMs: number,
    isNew = false,
  ): void {
    const wasCandidate = !isNew && endpoint.isCandidate;
    endpoint.revision = revision;
    const beganToLeave = endpoint.update(record, this.clock.nowMs(), clearMs);
    if (beganToLeave) this.tell(endpoint, LeaveSource.STORE, clearMs);
    if (wasCandidate || !endpoint.isCandidate) return;
    if (!isNew) {
      endpoint.backAtMs = this.clock.nowMs();
      this.log.info('endpoint.back', {endpoint: endpoint.id});
    }
    for (const listener of this.seenListeners) listener(record.service);
    for (const listener of this.candidateListeners) listener();
  }

  /**
   * Entries of endpoints that died with the store away stay for a while beside
   * those that have their addresses now: the later start is the true one, or where
   * none is told, the later registration.
   */
  private isSuperseded(added: Endpoint): boolean {
    const address = formatAddress(added.record.address);
    for (const other of this.byId.values()) {
      if (formatAddress(other.record.address) !== address) continue;
      if (isLater(other, added)) return true;
      this.noteReplaced(other);
    }
    return false;
  }

  /** The store no longer has the entry, which it had at `clearMs`. */
  remove(id: string, clearMs = this.clock.nowMs()): void {
    const endpoint = this.byId.get(id);
    if (endpoint === undefined || endpoint.removedAtMs !== undefined) return;
    const nowMs = this.clock.nowMs();
    endpoint.removedAtMs = nowMs;
    const {lapseLeftMs: lapseMs} = this.contact;
    if (lapseMs > 0 && !endpoint.isLeaving) {
      const keptMs = Math.round(lapseMs);
      this.log.info('endpoint.lapsed', {endpoint: id, keptMs});
      this.dropAfter(endpoint, lapseMs);
      return;
    }
    if (endpoint.noteLeavingInStore(clearMs)) {
      this.tell(endpoint, LeaveSource.REMOVED, clearMs);
    }
    this.dropAfter(endpoint, LAST_RESORT_MS);
  }

  private dropAfter(endpoint: Endpoint, delayMs: number): void {
    endpoint.cancelDrop();
    endpoint.cancelDrop = this.clock.after(delayMs, () => this.drop(endpoint));
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
    if (endpoint.noteLeaveTold(nowMs, leavesAtMs)) {
      this.tell(endpoint, source, nowMs);
    }
  }

  /** The endpoint's own answer says that it leaves. */
  noteSaidLeave(endpoint: Endpoint): void {
    const nowMs = this.clock.nowMs();
    if (endpoint.noteSaidLeave(nowMs)) {
      this.tell(endpoint, LeaveSource.ANSWER, nowMs);
    }
  }

  /** The address answers for another life: this one has ended. */
  noteReplaced(endpoint: Endpoint): void {
    if (endpoint.hasEnded) return;
    this.noteLeaving(endpoint, LeaveSource.REPLACED);
    this.end(endpoint);
  }

  /**
   * An engine at the endpoint's address told when it started; false when that is
   * not the life which is known, and its report says nothing of that one.
   */
  noteStart(endpoint: Endpoint, startedAtMs: number | undefined): boolean {
    const knownMs = endpoint.record.startedAtMs;
    if (startedAtMs === undefined || knownMs === undefined) return true;
    if (startedAtMs > knownMs) this.noteReplaced(endpoint);
    return startedAtMs === knownMs;
  }

  private noteDoubt(endpoint: Endpoint, doubt: Doubt): void {
    // A send to a former life tells nothing of the one that has its id now.
    if (endpoint.hasEnded) return;
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

  private tell(endpoint: Endpoint, source: LeaveSource, sinceMs: number): void {
    this.log.info('endpoint.leaving', {
      endpoint: endpoint.id,
      service: endpoint.record.service,
      source,
      open: endpoint.outstanding,
      unseenForMs: Math.round(this.clock.nowMs() - sinceMs),
    });
    for (const listener of this.leaveListeners) listener(endpoint);
  }

  private drop(endpoint: Endpoint): void {
    if (endpoint.removedAtMs === undefined) return;
    if (this.byId.get(endpoint.id) !== endpoint) return;
    this.forget(endpoint);
    this.log.info('endpoint.gone', {
      endpoint: endpoint.id,
      service: endpoint.record.service,
      open: endpoint.outstanding,
    });
  }

  private forget(endpoint: Endpoint): void {
    const {id, record} = endpoint;
    if (this.byId.get(id) === endpoint) this.byId.delete(id);
    this.byService.get(record.service)?.delete(endpoint);
    this.lives.noteGone(endpoint);
  }
}

/** True when the first of two endpoints with one address has it now. */
function isLater(first: Endpoint, second: Endpoint): boolean {
  const firstMs = first.record.startedAtMs;
  const secondMs = second.record.startedAtMs;
  if (firstMs === undefined || secondMs === undefined || firstMs === secondMs) {
    return first.revision > second.revision;
  }
  return firstMs > secondMs;
}
