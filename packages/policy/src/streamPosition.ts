/**
 * Where a caller stands in a stream, from what it says it has and what was written to it. Each
 * send of a generation takes its event id from here, and each event is checked against it, so
 * that no two sends assume different positions. Ids of events are whole numbers that increase
 * by one.
 */

import {assertNever} from '@lilacledge/shared';

export type StreamPosition =
  /** The caller has no event. */
  | {readonly kind: 'beginning'}
  /** The caller has all events up to this one; `text` is the id as it was received. */
  | {readonly kind: 'after'; readonly eventId: number; readonly text: string}
  /** The caller named an id that only endpoints can interpret. */
  | {readonly kind: 'opaque'; readonly text: string}
  /** The caller has events without a readable id, after which no other run can continue. */
  | {readonly kind: 'lost'};

/** What an event of a stream says of its place. */
export interface PlacedEvent {
  /** The `id` field of the event, if present. */
  readonly id?: string;
  /** False for a comment. */
  readonly hasData: boolean;
}

/** More digits don't fit a number exactly. */
const WHOLE_NUMBER = /^\d{1,15}$/;

/** Id of the event before the first one. */
const NO_EVENT_ID = '0';

/** The position of a caller that names this last event, or none. */
export function positionOf(lastEventId: string | undefined): StreamPosition {
  if (lastEventId === undefined) return {kind: 'beginning'};
  return parsePosition(lastEventId) ?? {kind: 'opaque', text: lastEventId};
}

/**
 * The position from which a run continues with the memory of another one. A run that is sent no
 * event id may begin with any event.
 */
export function continuedPosition(position: StreamPosition): StreamPosition {
  return position.kind === 'beginning' ? positionOf(NO_EVENT_ID) : position;
}

/** The event id to send with a request; undefined for a run from the beginning. */
export function lastEventIdOf(position: StreamPosition): string | undefined {
  switch (position.kind) {
    case 'beginning':
    case 'lost':
      return undefined;
    case 'after':
    case 'opaque':
      return position.text;
    default:
      return assertNever(position);
  }
}

/** True if the caller has, or may have, an event. */
export function callerHasEvents(position: StreamPosition): boolean {
  switch (position.kind) {
    case 'beginning':
      return false;
    case 'after':
      return position.eventId > 0;
    case 'opaque':
    case 'lost':
      return true;
    default:
      return assertNever(position);
  }
}

/** False if another run would repeat or leave out events. */
export function canContinue(position: StreamPosition): boolean {
  return position.kind !== 'lost';
}

/** The position once an event is written; undefined if the event doesn't follow it. */
export function positionAfter(
  position: StreamPosition,
  event: PlacedEvent,
): StreamPosition | undefined {
  if (event.id === undefined) {
    return event.hasData ? {kind: 'lost'} : position;
  }
  const next = parsePosition(event.id);
  if (position.kind !== 'after') return next ?? {kind: 'lost'};
  return next?.eventId === position.eventId + 1 ? next : undefined;
}

type PositionAfterEvent = Extract<StreamPosition, {kind: 'after'}>;

function parsePosition(text: string): PositionAfterEvent | undefined {
  const trimmed = text.trim();
  if (!WHOLE_NUMBER.test(trimmed)) return undefined;
  return {kind: 'after', eventId: Number(trimmed), text: trimmed};
}
