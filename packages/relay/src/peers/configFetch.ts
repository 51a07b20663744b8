import type {CancelTimer, Clock, Random} from '@lilacledge/shared';
import type {Peer} from './peerMesh.js';

/**
 * Part of the time until a configuration must be in force in which the store's own
 * answer is waited for; it is there in milliseconds when all is well. An entry that
 * the store turns away then still asks early enough for two peers in a row.
 */
const OWN_ANSWER_SHARE = 0.1;

/** The same until the next peer is asked, when one has not answered. */
const NEXT_PEER_SHARE = 0.15;

/** What a fetch looks at. */
export interface ConfigFetchSources {
  readonly clock: Clock;
  readonly random: Random;
  /** Version in force; 0 while none is. */
  version(): number;
  /** Longest time until a new configuration is in force. */
  configApplyMs(): number;
}

interface Offer {
  readonly peer: Peer;
  readonly version: number;
}

/**
 * Fetches a newer configuration from one peer at a time, if the store does not bring
 * it. A configuration is a hundred kilobytes where it has many routes, and all peers
 * learn of it at the same moment: if each asked at once, an entry's link would carry
 * it eight times beside its callers' streams.
 */
export class ConfigFetch {
  private readonly offers: Offer[] = [];
  private cancelTimer: CancelTimer | undefined;

  constructor(private readonly sources: ConfigFetchSources) {}

  /** A peer has this version in force. */
  noteOffer(peer: Peer, version: number): void {
    if (version <= this.sources.version()) return;
    this.offers.push({peer, version});
    if (this.cancelTimer !== undefined) return;
    // Without any configuration nobody can be served.
    if (this.sources.version() === 0) this.askNext();
    else this.wait(OWN_ANSWER_SHARE);
  }

  /** A link ended: its peer is not asked. */
  noteClosed(peer: Peer): void {
    const left = this.offers.filter((offer) => offer.peer !== peer);
    this.offers.splice(0, this.offers.length, ...left);
  }

  stop(): void {
    this.cancelTimer?.();
  }

  private wait(share: number): void {
    const {clock, random, configApplyMs} = this.sources;
    const waitMs = configApplyMs() * share * (0.5 + random());
    this.cancelTimer = clock.after(waitMs, () => {
      this.cancelTimer = undefined;
      this.askNext();
    });
  }

  private askNext(): void {
    const version = this.sources.version();
    let offer = this.offers.shift();
    while (offer !== undefined && offer.version <= version) {
      offer = this.offers.shift();
    }
    if (offer === undefined) return;
    offer.peer.send({type: 'configRequest'});
    this.wait(NEXT_PEER_SHARE);
  }
}
