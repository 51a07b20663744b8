import {IncarnationOrder} from '@lilacledge/policy';
import {assertNever} from '@lilacledge/shared';
import type {Clock} from '@lilacledge/shared';
import type {Logger} from '../log/boundedLog.js';
import {formatAddress} from '../model/index.js';
import type {EndpointRecord} from '../model/index.js';
import type {CandidateListeners} from './candidateListeners.js';
import {LeaveSource} from './endpoint.js';
import type {Endpoint} from './endpoint.js';
import type {EndpointIndex} from './endpointIndex.js';
import type {EndpointLeaves} from './endpointLeaves.js';
import type {EndpointIncarnations} from './lives.js';
import type {StoreContactHistory} from './storeContact.js';

/**
 * How long an endpoint is kept after its registration was removed. It may be a last
 * resort until then, as far as `Endpoint.mayGetWork` allows. Less than the shortest
 * permitted time for work at a leaving endpoint (2 s).
 */
const REMOVED_ENDPOINT_TTL_MS = 1_500;

/** What the lifecycle of endpoints changes, and whom it tells. */
export interface LifecycleParts {
  readonly clock: Clock;
  readonly log: Logger;
  readonly index: EndpointIndex;
  readonly incarnations: EndpointIncarnations;
  readonly contact: Pick<StoreContactHistory, 'expiryGraceLeftMs'>;
  readonly leaves: EndpointLeaves;
  readonly candidates: CandidateListeners;
  create(record: EndpointRecord): Endpoint;
}

/** Adds, changes and forgets endpoints by their registrations and answers. */
export class EndpointLifecycle {
  constructor(private readonly parts: LifecycleParts) {}

  /**
   * Applies a new or changed registration that the store did not hold yet at
   * `unchangedAtMs`.
   */
  upsert(
    record: EndpointRecord,
    revision: number,
    unchangedAtMs: number,
  ): void {
    const {id} = record;
    const known = this.parts.index.get(id);
    if (known !== undefined && revision < known.revision) return;
    const order = this.parts.incarnations.compareWithKnown(known, record);
    switch (order) {
      case IncarnationOrder.SAME:
        if (known === undefined) this.add(record, revision, unchangedAtMs);
        else this.refresh(known, record, revision, unchangedAtMs);
        return;
      case IncarnationOrder.LATER:
        if (known !== undefined) this.end(known);
        this.add(record, revision, unchangedAtMs);
        return;
      case IncarnationOrder.FORMER:
      case IncarnationOrder.UNPROVEN:
        this.parts.log.warn('endpoint.outdated', {
          endpoint: id,
          cause: order,
          startedAtMs: record.startedAtMs,
          knownStartedAtMs: known?.record.startedAtMs,
        });
        if (order === IncarnationOrder.UNPROVEN) this.invalidate(id);
        return;
      default:
        assertNever(order);
    }
  }

  /** Marks an endpoint whose key no longer holds a usable registration. */
  invalidate(id: string): void {
    const known = this.parts.index.get(id);
    if (known === undefined || known.hasInvalidRegistration) return;
    known.hasInvalidRegistration = true;
    this.parts.log.warn('endpoint.disowned', {
      endpoint: id,
      service: known.record.service,
      open: known.outstanding,
    });
  }

  /** Forgets an endpoint after another incarnation has taken over its id or address. */
  private end(endpoint: Endpoint): void {
    endpoint.hasEnded = true;
    endpoint.cancelExpiry();
    endpoint.announced.unanswered.noteProcessEnded(this.parts.clock.nowMs());
    this.parts.log.info('endpoint.ended', {
      endpoint: endpoint.id,
      service: endpoint.record.service,
      startedAtMs: endpoint.record.startedAtMs,
      open: endpoint.outstanding,
    });
    this.forget(endpoint);
  }

  private add(
    record: EndpointRecord,
    revision: number,
    unchangedAtMs: number,
  ): void {
    const endpoint = this.parts.create(record);
    endpoint.revision = revision;
    if (this.isSuperseded(endpoint)) return;
    this.parts.index.add(endpoint);
    this.parts.log.info('endpoint.seen', {
      endpoint: record.id,
      service: record.service,
      zone: record.zone,
      address: formatAddress(record.address),
      state: record.state,
      startedAtMs: record.startedAtMs,
    });
    this.refresh(endpoint, record, revision, unchangedAtMs, true);
  }

  private refresh(
    endpoint: Endpoint,
    record: EndpointRecord,
    revision: number,
    unchangedAtMs: number,
    isNew = false,
  ): void {
    const wasCandidate = !isNew && endpoint.isCandidate;
    endpoint.revision = revision;
    const isNewLeave = endpoint.update(
      record,
      this.parts.clock.nowMs(),
      unchangedAtMs,
    );
    if (isNewLeave) {
      this.parts.leaves.emitLeave(endpoint, LeaveSource.STORE, unchangedAtMs);
    }
    if (wasCandidate || !endpoint.isCandidate) return;
    if (!isNew) {
      endpoint.returnedAtMs = this.parts.clock.nowMs();
      this.parts.log.info('endpoint.back', {endpoint: endpoint.id});
    }
    this.parts.candidates.emit(record.service);
  }

  /**
   * True if a later endpoint already has the address; otherwise ends earlier endpoints
   * with it. Registrations of endpoints that died during an outage of the store remain
   * for a while next to those of their successors. The later start time wins or, without
   * start times, the later registration.
   */
  private isSuperseded(added: Endpoint): boolean {
    const address = formatAddress(added.record.address);
    for (const other of this.parts.index.all()) {
      if (formatAddress(other.record.address) !== address) continue;
      if (isLater(other, added)) return true;
      this.noteReplaced(other);
    }
    return false;
  }

  /** Applies the removal of a registration that the store still held at `unchangedAtMs`. */
  remove(id: string, unchangedAtMs: number): void {
    const endpoint = this.parts.index.get(id);
    if (endpoint === undefined || endpoint.removedAtMs !== undefined) return;
    const nowMs = this.parts.clock.nowMs();
    endpoint.removedAtMs = nowMs;
    const {expiryGraceLeftMs: graceMs} = this.parts.contact;
    if (graceMs > 0 && !endpoint.isLeaving) {
      const keptMs = Math.round(graceMs);
      this.parts.log.info('endpoint.lapsed', {endpoint: id, keptMs});
      this.forgetAfter(endpoint, graceMs);
      return;
    }
    if (endpoint.noteLeavingInStore(unchangedAtMs)) {
      this.parts.leaves.emitLeave(endpoint, LeaveSource.REMOVED, unchangedAtMs);
    }
    this.forgetAfter(endpoint, REMOVED_ENDPOINT_TTL_MS);
  }

  private forgetAfter(endpoint: Endpoint, delayMs: number): void {
    endpoint.cancelExpiry();
    endpoint.cancelExpiry = this.parts.clock.after(delayMs, () =>
      this.drop(endpoint),
    );
  }

  /** Ends the endpoint: another incarnation answers at its address. */
  noteReplaced(endpoint: Endpoint): void {
    if (endpoint.hasEnded) return;
    this.parts.leaves.noteLeaving(endpoint, LeaveSource.REPLACED);
    this.end(endpoint);
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
    const knownMs = endpoint.record.startedAtMs;
    if (startedAtMs === undefined || knownMs === undefined) return true;
    if (startedAtMs > knownMs) this.noteReplaced(endpoint);
    return startedAtMs === knownMs;
  }

  private drop(endpoint: Endpoint): void {
    if (endpoint.removedAtMs === undefined) return;
    if (this.parts.index.get(endpoint.id) !== endpoint) return;
    this.forget(endpoint);
    this.parts.log.info('endpoint.gone', {
      endpoint: endpoint.id,
      service: endpoint.record.service,
      open: endpoint.outstanding,
    });
  }

  private forget(endpoint: Endpoint): void {
    this.parts.index.delete(endpoint);
    this.parts.incarnations.noteGone(endpoint);
  }
}

/** True if the first of two endpoints with the same address is the later one. */
function isLater(first: Endpoint, second: Endpoint): boolean {
  const firstMs = first.record.startedAtMs;
  const secondMs = second.record.startedAtMs;
  if (firstMs === undefined || secondMs === undefined || firstMs === secondMs) {
    return first.revision > second.revision;
  }
  return firstMs > secondMs;
}
