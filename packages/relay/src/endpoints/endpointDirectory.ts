import {EngineSpeed, SpeedReference, ViewState} from '@lilacledge/policy';
import type {StoreRecovery} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';
import type {Logger} from '../log/boundedLog.js';
import type {EndpointRecord} from '../model/index.js';
import {PerService} from '../perService.js';
import {ALL_ON} from '../switches.js';
import type {Switches} from '../switches.js';
import {CandidateListeners} from './candidateListeners.js';
import {DoubtReports} from './doubtReports.js';
import type {DoubtListener} from './doubtReports.js';
import {Endpoint} from './endpoint.js';
import type {LeaveSource} from './endpoint.js';
import {EndpointIndex} from './endpointIndex.js';
import {EndpointLeaves} from './endpointLeaves.js';
import {EndpointLifecycle} from './endpointLifecycle.js';
import {EndpointIncarnations} from './lives.js';
import {StoreContactHistory} from './storeContact.js';
import type {StoreContact} from './storeContact.js';
import {NO_EVACUATIONS} from './zoneEvacuations.js';
import type {ZoneAvailability} from './zoneEvacuations.js';

/** The endpoints known to this process, by id and by service. */
export class EndpointDirectory {
  private readonly index = new EndpointIndex();
  private readonly candidates = new CandidateListeners();
  private readonly speedReferences = new PerService(() => new SpeedReference());
  private readonly contact: StoreContactHistory;
  private readonly incarnations: EndpointIncarnations;
  private readonly leaves: EndpointLeaves;
  private readonly doubts: DoubtReports;
  private readonly lifecycle: EndpointLifecycle;

  constructor(
    private readonly clock: Clock,
    log: Logger,
    private readonly switches: Switches = ALL_ON,
    private readonly zones: ZoneAvailability = NO_EVACUATIONS,
  ) {
    this.contact = new StoreContactHistory(clock);
    this.incarnations = new EndpointIncarnations(clock);
    this.leaves = new EndpointLeaves(clock, log);
    this.doubts = new DoubtReports(clock, log, this.index);
    this.lifecycle = new EndpointLifecycle({
      clock,
      log,
      index: this.index,
      incarnations: this.incarnations,
      contact: this.contact,
      leaves: this.leaves,
      candidates: this.candidates,
      create: (record) => this.create(record),
    });
  }

  get size(): number {
    return this.index.size;
  }

  get(id: string): Endpoint | undefined {
    return this.index.get(id);
  }

  all(): Iterable<Endpoint> {
    return this.index.all();
  }

  /** All endpoints of a service, including leaving ones. */
  ofService(service: string): Iterable<Endpoint> {
    return this.index.ofService(service);
  }

  /** Completeness of the view of endpoints of the given services. */
  viewOf(services: readonly string[]): ViewState {
    if (services.some((service) => this.hasNoCandidate(service))) {
      return ViewState.INCOMPLETE;
    }
    return this.contact.isRecovering ? ViewState.RECOVERING : ViewState.SETTLED;
  }

  /** For how long the store has been available or unavailable. */
  get storeContact(): StoreContact {
    return this.contact.now;
  }

  /**
   * Calls `listener` once when an endpoint of the service becomes a candidate. Returns a
   * function that removes the listener.
   */
  onceAvailable(service: string, listener: () => void): () => void {
    return this.candidates.onceAvailable(service, listener);
  }

  /** True if no endpoint of the service is a candidate. */
  private hasNoCandidate(service: string): boolean {
    return [...this.ofService(service)].every(({isCandidate}) => !isCandidate);
  }

  /** The endpoint most recently added with the given address. */
  atAddress(address: string): Endpoint | undefined {
    return this.index.atAddress(address);
  }

  /** Calls `listener` for each endpoint that begins to leave. */
  onLeaving(listener: (endpoint: Endpoint) => void): void {
    this.leaves.onLeaving(listener);
  }

  /** Calls `listener` whenever an endpoint becomes a candidate. */
  onCandidate(listener: () => void): void {
    this.candidates.onCandidate(listener);
  }

  /** Calls `listener` for each doubt that should be reported to other entries. */
  onDoubtToReport(listener: DoubtListener): void {
    this.doubts.onDoubtToReport(listener);
  }

  /**
   * Records that the store is available again. Registrations may be missing for a while;
   * `settleMs` after the end of the outage, the usual bounds apply again.
   */
  noteStoreAvailable(recovery: StoreRecovery, settleMs: number): void {
    this.contact.noteAvailable(recovery, settleMs);
  }

  /**
   * Records that the store was restored from an older copy, which may lack registrations that
   * endpoints will write again.
   */
  noteStoreRestored(settleMs: number): void {
    const nowMs = this.clock.nowMs();
    this.contact.noteAvailable({atMs: nowMs, lastFailedMs: nowMs}, settleMs);
  }

  /** True if the registered incarnation was leaving or gone according to the store. */
  hasLeft(record: EndpointRecord): boolean {
    const known = this.index.get(record.id);
    if (known === undefined) return this.incarnations.hasForgotten(record);
    return known.isLeaving && known.record.startedAtMs === record.startedAtMs;
  }

  /** Records that the store has become unavailable. */
  noteStoreUnavailable(): void {
    this.contact.noteUnavailable();
  }

  /**
   * Applies a new or changed registration that the store did not hold yet at
   * `unchangedAtMs`.
   */
  upsert(
    record: EndpointRecord,
    revision: number,
    unchangedAtMs = this.clock.nowMs(),
  ): void {
    this.lifecycle.upsert(record, revision, unchangedAtMs);
  }

  /** Marks an endpoint whose key no longer holds a usable registration. */
  invalidate(id: string): void {
    this.lifecycle.invalidate(id);
  }

  /** Applies the removal of a registration that the store still held at `unchangedAtMs`. */
  remove(id: string, unchangedAtMs = this.clock.nowMs()): void {
    this.lifecycle.remove(id, unchangedAtMs);
  }

  /** Records that the endpoint is leaving, and the source of the notice. */
  noteLeaving(
    endpoint: Endpoint,
    source: LeaveSource,
    leavesInMs?: number,
  ): void {
    this.leaves.noteLeaving(endpoint, source, leavesInMs);
  }

  /** Records that the endpoint's own answer announced its leave. */
  noteLeaveAnnounced(endpoint: Endpoint): void {
    this.leaves.noteLeaveAnnounced(endpoint);
  }

  /** Ends the endpoint: another incarnation answers at its address. */
  noteReplaced(endpoint: Endpoint): void {
    this.lifecycle.noteReplaced(endpoint);
  }

  /**
   * Compares the start time in an engine's report with the known incarnation. Returns
   * false if the report is from another incarnation and must be ignored; a later one
   * ends the known endpoint.
   */
  noteReportedStart(
    endpoint: Endpoint,
    startedAtMs: number | undefined,
  ): boolean {
    return this.lifecycle.noteReportedStart(endpoint, startedAtMs);
  }

  private create(record: EndpointRecord): Endpoint {
    return new Endpoint(
      record,
      this.clock.nowMs(),
      (doubted, doubt) => this.doubts.note(doubted, doubt),
      this.switches,
      this.zones,
      this.incarnations.announcedStateOf(record),
      new EngineSpeed(this.speedReferences.of(record.service)),
    );
  }
}
