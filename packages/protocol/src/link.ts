import type {Message} from './messages.js';

/** Traffic counters of a link. */
export interface LinkTraffic {
  sentMessages: number;
  sentBytes: number;
  receivedMessages: number;
  receivedBytes: number;
  /** Bytes sent in messages that are neither a request nor part of an answer. */
  sentControlBytes: number;
}

/** Why a link ended. */
export type LinkEndReason =
  | {readonly kind: 'closed'; readonly detail: string}
  | {readonly kind: 'malformed'; readonly detail: string}
  | {readonly kind: 'unauthenticated'; readonly detail: string};

/** An ordered, reliable message connection to one peer process. */
export interface Link {
  readonly isOpen: boolean;
  readonly traffic: LinkTraffic;
  /** Bytes passed to `send` that are not yet written to the network. */
  readonly bufferedBytes: number;
  send(message: Message): void;
  /** Received messages, until the link ends; supports a single consumer. */
  receive(): AsyncIterable<Message>;
  close(end: LinkEndReason): void;
  /** Resolves once, when the link has ended. */
  readonly ended: Promise<LinkEndReason>;
}

/** Opens links to sidecars. */
export interface LinkDialer {
  dial(address: LinkAddress): Promise<Link>;
}

export interface LinkAddress {
  readonly host: string;
  readonly port: number;
}

/** Traffic counters of a new link. */
export function createTraffic(): LinkTraffic {
  return {
    sentMessages: 0,
    sentBytes: 0,
    receivedMessages: 0,
    receivedBytes: 0,
    sentControlBytes: 0,
  };
}

const CONTROL_TYPES: ReadonlySet<Message['type']> = new Set([
  'challenge',
  'hello',
  'welcome',
  'ping',
  'pong',
  'report',
  'slots',
  'credit',
  'drain',
  'configOffer',
  'configRequest',
  'configTransfer',
] as const);

/** True for messages that are neither a request nor part of an answer. */
export function isControlMessage(message: Message): boolean {
  return CONTROL_TYPES.has(message.type);
}
