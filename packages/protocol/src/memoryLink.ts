import {AsyncQueue} from '@lilacledge/shared';
import type {Clock} from '@lilacledge/shared';
import {parseMessage} from './checkMessage.js';
import {createTraffic} from './link.js';
import type {Link, LinkAddress, LinkDialer, LinkEndReason} from './link.js';
import type {Message} from './messages.js';

interface MemoryLinkEnd extends Link {
  deliver(message: Message): void;
  finish(end: LinkEndReason): void;
}

interface LinkPair {
  readonly key: string;
  readonly ends: readonly [MemoryLinkEnd, MemoryLinkEnd];
}

/** The two directions of a link; the entry opens it. */
export const LinkWay = {TO_SIDECAR: 'there', TO_ENTRY: 'back'} as const;
export type LinkWay = (typeof LinkWay)[keyof typeof LinkWay];

/** Deliveries held back in the given directions, to be made in order later. */
interface HeldMessages {
  readonly ways: readonly LinkWay[];
  readonly messages: Array<() => void>;
}

/**
 * In-process links for tests and simulations, with a one-way delay by the clock. `cut`,
 * `stall` and `duplicate` inject faults; messages of a link stay in order, as on a socket.
 */
export class MemoryNetwork implements LinkDialer {
  private readonly listeners = new Map<string, (link: Link) => void>();
  private readonly stalled = new Map<string, HeldMessages>();
  private readonly duplicated = new Set<string>();
  private readonly refused = new Set<string>();
  private pairs: LinkPair[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly delayMs: number,
  ) {}

  listen(address: LinkAddress, onLink: (link: Link) => void): void {
    this.listeners.set(toKey(address), onLink);
  }

  /** Simulates the exit of the process at `address`: its links end. */
  remove(address: LinkAddress): void {
    this.listeners.delete(toKey(address));
    this.endLinks(address);
  }

  /** Ends all links to `address` and refuses new ones until `heal`. */
  cut(address: LinkAddress): void {
    this.refused.add(toKey(address));
    this.endLinks(address);
  }

  /** Ends all links to `address`; new ones can be opened. */
  endLinks(address: LinkAddress): void {
    const key = toKey(address);
    const ending = this.pairs.filter((pair) => pair.key === key);
    this.pairs = this.pairs.filter((pair) => pair.key !== key);
    for (const pair of ending) {
      for (const end of pair.ends) {
        end.finish({kind: 'closed', detail: 'link cut'});
      }
    }
  }

  /** Holds back messages to and from `address` until `heal`, with the links open. */
  stall(
    address: LinkAddress,
    ways: readonly LinkWay[] = [LinkWay.TO_SIDECAR, LinkWay.TO_ENTRY],
  ): void {
    this.stalled.set(toKey(address), {ways, messages: []});
  }

  /** Delivers each message from `address` twice until `heal`, as a faulty relay might. */
  duplicate(address: LinkAddress): void {
    this.duplicated.add(toKey(address));
  }

  /** Ends all faults at `address` and delivers what was held back. */
  heal(address: LinkAddress): void {
    const key = toKey(address);
    this.refused.delete(key);
    this.duplicated.delete(key);
    const held = this.stalled.get(key);
    this.stalled.delete(key);
    for (const deliver of held?.messages ?? []) deliver();
  }

  async dial(address: LinkAddress): Promise<Link> {
    const key = toKey(address);
    const onLink = this.listeners.get(key);
    if (onLink === undefined || this.refused.has(key)) {
      throw new Error(`connection to ${key} refused`);
    }
    const entryEnd = this.createEnd(key, LinkWay.TO_SIDECAR, () => sidecarEnd);
    const sidecarEnd: MemoryLinkEnd = this.createEnd(
      key,
      LinkWay.TO_ENTRY,
      () => entryEnd,
    );
    this.pairs.push({key, ends: [entryEnd, sidecarEnd]});
    onLink(sidecarEnd);
    return entryEnd;
  }

  private createEnd(
    key: string,
    way: LinkWay,
    other: () => MemoryLinkEnd,
  ): MemoryLinkEnd {
    const inbox = new AsyncQueue<Message>();
    const traffic = createTraffic();
    let isOpen = true;
    let resolveEnded!: (end: LinkEndReason) => void;
    const ended = new Promise<LinkEndReason>((resolve) => {
      resolveEnded = resolve;
    });
    const finish = (end: LinkEndReason): void => {
      if (!isOpen) return;
      isOpen = false;
      inbox.close();
      resolveEnded(end);
    };
    return {
      get isOpen() {
        return isOpen;
      },
      bufferedBytes: 0,
      traffic,
      ended,
      finish,
      deliver(message) {
        traffic.receivedMessages++;
        inbox.push(message);
      },
      send: (message) => {
        if (!isOpen) return;
        assertMessage(message);
        traffic.sentMessages++;
        this.deliverDelayed(key, way, () => other().deliver(message));
        if (way !== LinkWay.TO_ENTRY || !this.duplicated.has(key)) return;
        this.deliverDelayed(key, way, () => other().deliver(message));
      },
      receive: () => inbox,
      close: (end) => {
        finish(end);
        this.deliverDelayed(key, way, () => other().finish(end));
      },
    };
  }

  private deliverDelayed(key: string, way: LinkWay, deliver: () => void): void {
    this.clock.after(this.delayMs, () => {
      const held = this.stalled.get(key);
      if (held?.ways.includes(way) === true) held.messages.push(deliver);
      else deliver();
    });
  }
}

/** Validates a message as the codec does; throws if it is malformed. */
function assertMessage(message: Message): void {
  if (parseMessage(message) === undefined) {
    throw new Error(`malformed message of type ${message.type}`);
  }
}

function toKey(address: LinkAddress): string {
  return `${address.host}:${address.port}`;
}
