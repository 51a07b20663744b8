import {IncarnationOrder, compareIncarnations} from '@lilacledge/policy';
import type {Incarnation} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';
import {EndpointState, formatAddress} from '../model/index.js';
import type {EndpointRecord} from '../model/index.js';
import type {Endpoint} from './endpoint.js';
import {AnnouncedState} from './announcedState.js';

/**
 * How long an incarnation is remembered after it is gone, so that a late registration
 * does not bring it back: the store may carry out a write seconds after the call.
 */
const FORMER_INCARNATION_TTL_MS = 30_000;

/** Distinguishes incarnations of endpoints, including those recently forgotten. */
export class EndpointIncarnations {
  /** Last incarnation of each id that is no longer in the directory. */
  private readonly former = new Map<string, Incarnation>();
  /** Incarnations that the directory forgot, as far as they are still remembered. */
  private readonly gone = new Set<string>();
  /** State announced in answers, by id and start time. */
  private readonly announced = new Map<string, AnnouncedState>();

  constructor(private readonly clock: Clock) {}

  /** Compares a registration with the current or last known incarnation of its id. */
  compareWithKnown(
    known: Endpoint | undefined,
    record: EndpointRecord,
  ): IncarnationOrder {
    const incarnation =
      known === undefined ? this.former.get(record.id) : incarnationOf(known);
    if (incarnation === undefined) return IncarnationOrder.LATER;
    const order = compareIncarnations(
      incarnation,
      registeredIncarnation(record),
    );
    // Without start times, only a registration after a removal shows a restart.
    const isNew =
      order === IncarnationOrder.FORMER &&
      record.startedAtMs === undefined &&
      known?.removedAtMs !== undefined;
    return isNew ? IncarnationOrder.LATER : order;
  }

  /** State announced by an incarnation, which is kept while its registration is missing. */
  announcedStateOf(record: EndpointRecord): AnnouncedState {
    const key = incarnationKey(record);
    const state = this.announced.get(key) ?? new AnnouncedState();
    this.announced.set(key, state);
    state.isInUse = true;
    return state;
  }

  /** True if the directory recently forgot the registered incarnation. */
  hasForgotten(record: EndpointRecord): boolean {
    return this.gone.has(incarnationKey(record));
  }

  /** Remembers the incarnation of an endpoint that the directory forgets. */
  noteGone(endpoint: Endpoint): void {
    const {id} = endpoint;
    const key = incarnationKey(endpoint.record);
    this.scheduleStateRemoval(endpoint);
    this.gone.add(key);
    this.clock.after(FORMER_INCARNATION_TTL_MS, () => this.gone.delete(key));
    const incarnation = incarnationOf(endpoint);
    if (incarnation.startedAtMs === undefined) return;
    this.former.set(id, incarnation);
    this.clock.after(FORMER_INCARNATION_TTL_MS, () => {
      if (this.former.get(id) === incarnation) this.former.delete(id);
    });
  }

  private scheduleStateRemoval({record, announced: state}: Endpoint): void {
    const key = incarnationKey(record);
    state.isInUse = false;
    this.clock.after(FORMER_INCARNATION_TTL_MS, () => {
      if (!state.isInUse && this.announced.get(key) === state) {
        this.announced.delete(key);
      }
    });
  }
}

function incarnationKey({id, startedAtMs}: EndpointRecord): string {
  return `${id} ${startedAtMs ?? ''}`;
}

function incarnationOf({record, hasReportedLeave}: Endpoint): Incarnation {
  return {...registeredIncarnation(record), isLeaving: hasReportedLeave};
}

function registeredIncarnation(record: EndpointRecord): Incarnation {
  const {startedAtMs, service, address, state} = record;
  const location = `${service} ${formatAddress(address)}`;
  return {startedAtMs, location, isLeaving: state === EndpointState.DRAINING};
}
