import type {CancelTimer, Clock, Random} from '@lilacledge/shared';
import type {Logger} from '../log/boundedLog.js';
import type {Peer} from './peerMesh.js';

/**
 * Fraction of `configApplyMs` to wait for a configuration from the store before a peer is
 * asked. The store normally delivers within milliseconds; an entry that the store rejects
 * then still has time to ask two peers in a row.
 */
const STORE_WAIT_FRACTION = 0.1;

/** Fraction of `configApplyMs` to wait for a peer's answer before the next one is asked. */
const PEER_WAIT_FRACTION = 0.15;

/**
 * `STORE_WAIT_FRACTION` while the store answers this entry. On a slow link the store's
 * response takes long, and a peer's copy at the same time would slow down both: with a
 * shorter wait, nearly every version of a series of large ones was received twice.
 */
const CONNECTED_STORE_WAIT_FRACTION = 0.35;

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
}

/** A version that a peer has active. */
interface Offer {
  readonly peer: Peer;
  readonly version: number;
  readonly receivedAtMs: number;
}

/**
 * Fetches a newer configuration from one peer at a time, if the store does not deliver
 * it. A configuration with many routes has a hundred kilobytes, and all peers announce it
 * at the same time: if it were requested from all of them, an entry's link would carry it
 * eight times, besides its callers' streams.
 */
export class PeerConfigFetcher {
  private readonly offers: Offer[] = [];
  private cancelTimer: CancelTimer | undefined;

  constructor(private readonly options: PeerConfigFetcherOptions) {}

  /** A peer has this version active. */
  noteOffer(peer: Peer, version: number): void {
    if (version <= this.options.version()) return;
    this.offers.push({peer, version, receivedAtMs: this.options.clock.nowMs()});
    if (this.cancelTimer !== undefined) return;
    // No request can be served without a configuration.
    if (this.options.version() === 0) this.requestFromNextPeer();
    else this.wait(this.storeWaitFraction);
  }

  /** The link to a peer closed: it is not asked. */
  notePeerClosed(peer: Peer): void {
    this.removeOffers((offer) => offer.peer === peer);
  }

  stop(): void {
    this.cancelTimer?.();
  }

  /** Schedules the next request after a fraction of `configApplyMs`, less `elapsedMs`. */
  private wait(fraction: number, elapsedMs = 0): void {
    const {clock, random, configApplyMs} = this.options;
    const waitMs = configApplyMs() * fraction * (0.5 + random()) - elapsedMs;
    this.cancelTimer = clock.after(waitMs, () => {
      this.cancelTimer = undefined;
      this.requestFromNextPeer();
    });
  }

  private get storeWaitFraction(): number {
    return this.options.isStoreAvailable()
      ? CONNECTED_STORE_WAIT_FRACTION
      : STORE_WAIT_FRACTION;
  }

  private requestFromNextPeer(): void {
    const {clock, log, version, configApplyMs} = this.options;
    this.removeOffers((offer) => offer.version <= version());
    const [offer] = this.offers;
    if (offer === undefined) return;
    // The wait for the store starts anew with each version of a series.
    const storeWaitMs = configApplyMs() * this.storeWaitFraction;
    const ageMs = clock.nowMs() - offer.receivedAtMs;
    if (ageMs < storeWaitMs / 2 && version() > 0) {
      this.wait(this.storeWaitFraction, ageMs);
      return;
    }
    this.offers.shift();
    offer.peer.send({type: 'configRequest'});
    log.info('config.requested', {
      peer: offer.peer.hello.instance,
      version: offer.version,
      ageMs: Math.round(ageMs),
    });
    this.wait(PEER_WAIT_FRACTION);
  }

  private removeOffers(shouldRemove: (offer: Offer) => boolean): void {
    const remaining = this.offers.filter((offer) => !shouldRemove(offer));
    this.offers.splice(0, this.offers.length, ...remaining);
  }
}
