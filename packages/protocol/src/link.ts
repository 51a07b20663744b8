import type {Message} from './messages.js';

/** What has passed over a link so far. */
export interface LinkTraffic {
  sentMessages: number;
  sentBytes: number;
  receivedMessages: number;
  receivedBytes: number;
  /** Part of the bytes sent that is not requests, tokens or answers. */
  sentControlBytes: number;
}

/** Why a link ended. */
export type LinkEnd =
  | {readonly kind: 'closed'; readonly detail: string}
  | {readonly kind: 'malformed'; readonly detail: string}
  | {readonly kind: 'unauthenticated'; readonly detail: string};

/** An ordered, reliable exchange of messages with one peer process. */
export interface Link {
  readonly isOpen: boolean;
  readonly traffic: LinkTraffic;
  /** Bytes accepted by `send` that have not left this process. */
  readonly bufferedBytes: number;
  send(message: Message): void;
  /** Messages until the link ends; one consumer only. */
  receive(): AsyncIterable<Message>;
  close(end: LinkEnd): void;
  /** Resolves once, when the link has ended. */
  readonly ended: Promise<LinkEnd>;
}

/** Opens links to sidecars. */
export interface LinkDialer {
  dial(address: LinkAddress): Promise<Link>;
}

export interface LinkAddress {
  readonly host: string;
  readonly port: number;
}

/** Counters of a link that has carried nothing yet. */
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
