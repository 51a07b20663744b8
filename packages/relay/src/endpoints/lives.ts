import {Succession, succession} from '@lilacledge/policy';
import type {Life} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';
import {EndpointState, formatAddress} from '../model/index.js';
import type {EndpointRecord} from '../model/index.js';
import type {Endpoint} from './endpoint.js';

/**
 * How long the start of a life is remembered after it is gone, so that a word of it
 * that comes late brings nothing back. The longest way of one is a call that the
 * store carries out seconds later.
 */
const FORMER_LIFE_KEPT_MS = 30_000;

/** Tells the lives of endpoints apart, also of those that are no longer known. */
export class Lives {
  /** The last life under an id that is no longer known. */
  private readonly former = new Map<string, Life>();

  constructor(private readonly clock: Clock) {}

  /** What a registration is to the life that is or was known under its id. */
  successionOf(
    known: Endpoint | undefined,
    record: EndpointRecord,
  ): Succession {
    const life =
      known === undefined ? this.former.get(record.id) : lifeOf(known);
    if (life === undefined) return Succession.LATER;
    const told = succession(life, recordedLife(record));
    // Where no start is told, a registration after a removal is the only sign of one.
    const isNew =
      told === Succession.FORMER &&
      record.startedAtMs === undefined &&
      known?.removedAtMs !== undefined;
    return isNew ? Succession.LATER : told;
  }

  /** An endpoint is no longer known. */
  noteGone(endpoint: Endpoint): void {
    const {id} = endpoint;
    const life = lifeOf(endpoint);
    if (life.startedAtMs === undefined) return;
    this.former.set(id, life);
    this.clock.after(FORMER_LIFE_KEPT_MS, () => {
      if (this.former.get(id) === life) this.former.delete(id);
    });
  }
}

function lifeOf({record, hasSaidLeave}: Endpoint): Life {
  return {...recordedLife(record), isLeaving: hasSaidLeave};
}

function recordedLife(record: EndpointRecord): Life {
  const {startedAtMs, service, address, state} = record;
  const place = `${service} ${formatAddress(address)}`;
  return {startedAtMs, place, isLeaving: state === EndpointState.DRAINING};
}
