import {chooseNextCopy} from '@lilacledge/policy';
import type {CancelTimer, Clock, Random} from '@lilacledge/shared';
import type {Logger} from '../log/boundedLog.js';
import type {ConfigPart} from './configMessages.js';
import type {Peer} from './peerMesh.js';
import {readsType} from './peerMessages.js';

/**
 * Fraction of `configApplyMs` to wait for a configuration from the store before a peer is
 * asked. The store normally delivers within milliseconds; an entry that the store rejects
 * then still has time to ask two peers in a row.
 */
const STORE_WAIT_FRACTION = 0.1;

/**
 * `STORE_WAIT_FRACTION` while the store answers this entry. On a slow link the store's
 * response may take this long to begin, and a peer's copy at the same time would slow down
 * both.
 */
const CONNECTED_STORE_WAIT_FRACTION = 0.35;

/** Fraction of `configApplyMs` without progress after which a copy counts as stalled. */
export const STALL_FRACTION = 0.15;

export interface PeerConfigFetcherOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  /** The active version; 0 while there is none. */
  version(): number;
  /** Maximum time until a new configuration must be active. */
  configApplyMs(): number;
  /** True while the store answers this entry. */
  isStoreAvailable(): boolean;
  /** When a configuration from the store last progressed; undefined if none is arriving. */
  storeProgressMs(): number | undefined;
  /** Called with each version that arrived completely. */
  received(peer: Peer, bytes: Buffer): void;
}

/** The newest version that a peer announced. */
interface Offer {
  readonly version: number;
  /** How often the peer was asked and its copy stalled. */
  readonly stalls: number;
}

/** A version that is fetched part by part. */
interface Download {
  peer: Peer;
  version: number;
  parts: Uint8Array[];
  receivedBytes: number;
  progressMs: number;
}

/**
 * Fetches a newer configuration from one peer at a time, if the store does not deliver
 * it. A configuration with many routes has a megabyte, and all peers announce it at the
 * same time: if it were requested from all of them, an entry's link would carry it eight
 * times, besides its callers' streams. It is requested part by part, so that a fetch ends
 * when the version has arrived otherwise, and goes on at another peer.
 */
export class PeerConfigFetcher {
  private readonly offers = new Map<Peer, Offer>();
  /** When each version newer than the active one was first announced. */
  private readonly knownSinceMs = new Map<number, number>();
  private download: Download | undefined;
  /** Spreads the requests of entries that learn of a version at the same time. */
  private jitter = 1;
  private cancelTimer: CancelTimer = () => {};

  constructor(private readonly options: PeerConfigFetcherOptions) {}

  /** When a peer was last asked or last sent a part; undefined if no copy is expected. */
  get progressMs(): number | undefined {
    return this.download?.progressMs;
  }

  /** A peer has this version active. */
  noteOffer(peer: Peer, version: number): void {
    const {clock, random} = this.options;
    if (version <= this.options.version()) return;
    const stalls = this.offers.get(peer)?.stalls ?? 0;
    this.offers.set(peer, {version, stalls});
    if (this.knownSinceMs.size === 0) this.jitter = 0.5 + random();
    if (!this.knownSinceMs.has(version)) {
      this.knownSinceMs.set(version, clock.nowMs());
    }
    this.review();
  }

  /** A peer sent a part. */
  receivePart(peer: Peer, part: ConfigPart): void {
    const {download} = this;
    if (download === undefined) return;
    if (download.receivedBytes === 0 && part.version > download.version) {
      download.version = part.version;
    }
    const isExpected =
      part.version === download.version &&
      part.offset === download.receivedBytes &&
      part.bytes.length > 0;
    if (!isExpected) return;
    // Also from a peer that counted as stalled: all hold the same bytes of a version.
    download.peer = peer;
    download.parts.push(part.bytes);
    download.receivedBytes += part.bytes.length;
    download.progressMs = this.options.clock.nowMs();
    if (download.version <= this.options.version()) {
      this.download = undefined;
    } else if (download.receivedBytes >= part.totalBytes) {
      this.download = undefined;
      this.options.received(peer, Buffer.concat(download.parts));
      // It is active now, or invalid for this build, and not fetched again.
      this.removeUpTo(download.version);
    } else {
      this.requestPart(download);
    }
    this.review();
  }

  /** The link to a peer closed: it is not asked. */
  notePeerClosed(peer: Peer): void {
    this.offers.delete(peer);
    if (this.download?.peer !== peer) return;
    this.download.progressMs = Number.NEGATIVE_INFINITY;
    this.review();
  }

  stop(): void {
    this.cancelTimer();
  }

  /** Asks a peer if a newer version is known that is not arriving, or checks again later. */
  private review(): void {
    const {clock} = this.options;
    this.cancelTimer();
    this.removeUpTo(this.options.version());
    const [knownSinceMs] = this.knownSinceMs.values();
    if (knownSinceMs === undefined || this.offers.size === 0) return;
    const next = chooseNextCopy(
      {
        nowMs: clock.nowMs(),
        knownSinceMs,
        storeProgressMs: this.options.storeProgressMs(),
        peerProgressMs: this.download?.progressMs,
      },
      {storeWaitMs: this.storeWaitMs, stallMs: this.stallMs},
    );
    if (next.kind === 'request') {
      this.requestFromNextPeer(clock.nowMs() - knownSinceMs);
    }
    const forMs = next.kind === 'wait' ? next.forMs : this.stallMs;
    this.cancelTimer = clock.after(forMs, () => this.review());
  }

  private get stallMs(): number {
    return this.options.configApplyMs() * STALL_FRACTION;
  }

  private get storeWaitMs(): number {
    // No request can be served without a configuration.
    if (this.options.version() === 0) return 0;
    const fraction = this.options.isStoreAvailable()
      ? CONNECTED_STORE_WAIT_FRACTION
      : STORE_WAIT_FRACTION;
    return this.options.configApplyMs() * fraction * this.jitter;
  }

  /** Forgets this version and older ones. */
  private removeUpTo(last: number): void {
    for (const [peer, {version}] of this.offers) {
      if (version <= last) this.offers.delete(peer);
    }
    for (const version of this.knownSinceMs.keys()) {
      if (version <= last) this.knownSinceMs.delete(version);
    }
    if (this.download !== undefined && this.download.version <= last) {
      this.download = undefined;
    }
  }

  private requestFromNextPeer(ageMs: number): void {
    const stalled = this.download;
    if (stalled !== undefined) this.noteStalled(stalled.peer);
    const choice = this.chooseOffer();
    if (choice === undefined) return;
    const [peer, {version}] = choice;
    const progressMs = this.options.clock.nowMs();
    this.download =
      stalled?.version === version
        ? {...stalled, peer, progressMs}
        : {peer, version, parts: [], receivedBytes: 0, progressMs};
    this.options.log.info('config.requested', {
      peer: peer.hello.instance,
      version,
      ageMs: Math.round(ageMs),
      fromByte: this.download.receivedBytes,
    });
    this.requestPart(this.download);
  }

  private requestPart({peer, version, receivedBytes}: Download): void {
    const message = {
      type: 'configPartRequest',
      version,
      offset: receivedBytes,
    } as const;
    peer.send(
      readsType(peer.hello, message.type) ? message : {type: 'configRequest'},
    );
  }

  private noteStalled(peer: Peer): void {
    const offer = this.offers.get(peer);
    if (offer === undefined) return;
    this.offers.set(peer, {...offer, stalls: offer.stalls + 1});
  }

  /** The peer that stalled least; of those, the first that announced the newest version. */
  private chooseOffer(): [Peer, Offer] | undefined {
    let best: [Peer, Offer] | undefined;
    for (const candidate of this.offers) {
      if (best === undefined || isBetter(candidate[1], best[1])) {
        best = candidate;
      }
    }
    return best;
  }
}

function isBetter(offer: Offer, than: Offer): boolean {
  if (offer.stalls !== than.stalls) return offer.stalls < than.stalls;
  return offer.version > than.version;
}
