import {AsyncQueue} from '@lilacledge/shared';
import type {Clock} from '@lilacledge/shared';
import {toMessage} from './checkMessage.js';
import {createTraffic} from './link.js';
import type {Link, LinkAddress, LinkDialer, LinkEnd} from './link.js';
import type {Message} from './messages.js';

interface MemoryEnd extends Link {
  deliver(message: Message): void;
  finish(end: LinkEnd): void;
}

interface OpenPair {
  readonly key: string;
  readonly ends: readonly [MemoryEnd, MemoryEnd];
}

/** The two ways of a link, as seen from the entry that opened it. */
export const LinkWay = {THERE: 'there', BACK: 'back'} as const;
export type LinkWay = (typeof LinkWay)[keyof typeof LinkWay];

/** Messages held back on one way, to be let go in order. */
interface HeldWay {
  readonly ways: readonly LinkWay[];
  readonly messages: Array<() => void>;
}

/**
 * Links inside one process, with a one-way delay by the clock. Faults are
 * brought about by `cut` and `stall`; order within a link is always kept, as
 * on a socket.
 */
export class MemoryNetwork implements LinkDialer {
  private readonly listeners = new Map<string, (link: Link) => void>();
  private readonly stalled = new Map<string, HeldWay>();
  private readonly duplicated = new Set<string>();
  private readonly refused = new Set<string>();
  private pairs: OpenPair[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly delayMs: number,
  ) {}

  listen(address: LinkAddress, onLink: (link: Link) => void): void {
    this.listeners.set(toKey(address), onLink);
  }

  /** The process behind `address` is gone: its links end. */
  remove(address: LinkAddress): void {
    this.listeners.delete(toKey(address));
    this.endLinks(address);
  }

  /** Ends all links to `address`; none can be opened until `heal`. */
  cut(address: LinkAddress): void {
    this.refused.add(toKey(address));
    this.endLinks(address);
  }

  /** Ends all links to `address` once. */
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

  /** Holds messages to and from `address` back, sockets open. */
  stall(
    address: LinkAddress,
    ways: readonly LinkWay[] = [LinkWay.THERE, LinkWay.BACK],
  ): void {
    this.stalled.set(toKey(address), {ways, messages: []});
  }

  /** Delivers each message from `address` twice, as a broken relay might. */
  duplicate(address: LinkAddress): void {
    this.duplicated.add(toKey(address));
  }

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
    const near = this.createEnd(key, LinkWay.THERE, () => far);
    const far: MemoryEnd = this.createEnd(key, LinkWay.BACK, () => near);
    this.pairs.push({key, ends: [near, far]});
    onLink(far);
    return near;
  }

  private createEnd(
    key: string,
    way: LinkWay,
    other: () => MemoryEnd,
  ): MemoryEnd {
    const inbox = new AsyncQueue<Message>();
    const traffic = createTraffic();
    let isOpen = true;
    let resolveEnded!: (end: LinkEnd) => void;
    const ended = new Promise<LinkEnd>((resolve) => {
      resolveEnded = resolve;
    });
    const finish = (end: LinkEnd): void => {
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
        this.pass(key, way, () => other().deliver(message));
        if (way !== LinkWay.BACK || !this.duplicated.has(key)) return;
        this.pass(key, way, () => other().deliver(message));
      },
      receive: () => inbox,
      close: (end) => {
        finish(end);
        this.pass(key, way, () => other().finish(end));
      },
    };
  }

  private pass(key: string, way: LinkWay, deliver: () => void): void {
    this.clock.after(this.delayMs, () => {
      const held = this.stalled.get(key);
      if (held?.ways.includes(way) === true) held.messages.push(deliver);
      else deliver();
    });
  }
}

/** Checks a message as the codec would; throws when it is malformed. */
function assertMessage(message: Message): void {
  if (toMessage(message) === undefined) {
    throw new Error(`malformed message of type ${message.type}`);
  }
}

function toKey(address: LinkAddress): string {
  return `${address.host}:${address.port}`;
}
