import {createRandom} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';
import {silentLog} from '../log/boundedLog.js';
import {PeerConfigFetcher} from '../peers/configFetch.js';
import {ConfigUploads} from '../peers/configUploads.js';
import type {Peer} from '../peers/peerMesh.js';
import {PeerRole} from '../peers/peerMessages.js';
import type {PeerMessage} from '../peers/peerMessages.js';
import type {ActiveConfig} from '../config/activeConfig.js';
import {createSettledView} from './entryView.js';
import type {Bounds, EntryView} from './entryView.js';
import {Reachability} from './reachability.js';
import {SlowLink} from './slowLink.js';

/** Bandwidth of the narrowest link that is supported, 7 Mbit/s. */
const LINK_BYTES_PER_MS = 875;

/** Streams of callers on the same link: one chunk in each interval, a tenth of the link. */
const STREAM_CHUNK = {bytes: 1_750, everyMs: 20};

/** Round trip to a peer. */
const PEER_ROUND_TRIP_MS = 3;

/** Linked peers, and when they have a version after the store: most have narrow links too. */
const PEER_DELAYS_MS = [40, 60, 1_300, 1_350, 1_500, 1_600, 1_900, 2_200];

/** An entry behind a narrow link that takes configurations from the store and from peers. */
export class NarrowEntry {
  private readonly fetcher: PeerConfigFetcher;
  private readonly peers: readonly Peer[];
  private readonly random: Random;
  private isStopped = false;
  private streamBytes = 0;

  private constructor(
    seed: number,
    bounds: Bounds,
    readonly view: EntryView,
    private readonly link: SlowLink,
    private readonly configBytes: number,
  ) {
    const {clock} = view;
    this.random = createRandom(seed);
    this.fetcher = new PeerConfigFetcher({
      clock,
      random: this.random,
      log: silentLog,
      version: () => view.configVersion,
      configApplyMs: () => bounds.configApplyMs,
      isStoreAvailable: () =>
        view.store.reachability === Reachability.ANSWERING,
      storeProgressMs: () => view.storeProgressMs,
      received: (_peer, bytes) => view.adoptFromPeer(Number(bytes.toString())),
    });
    const {fetcher} = this;
    Object.defineProperty(view.peers, 'configProgressMs', {
      get: () => fetcher.progressMs,
    });
    this.peers = PEER_DELAYS_MS.map((_, place) => this.createPeer(place));
    this.sendStreams();
  }

  /** Creates an entry that has received a first version of that many bytes. */
  static async create(
    seed: number,
    bounds: Bounds,
    configBytes: number,
  ): Promise<NarrowEntry> {
    const view = await createSettledView(seed, bounds);
    const link = new SlowLink(view.clock, LINK_BYTES_PER_MS);
    view.store.link = link;
    view.store.limitsBodies = true;
    const entry = new NarrowEntry(seed, bounds, view, link, configBytes);
    entry.writeConfig();
    await view.clock.advance(10_000);
    return entry;
  }

  /** Writes the next version, which the peers have soon after the store. */
  writeConfig(): number {
    const {store, clock} = this.view;
    store.writeConfig(this.configBytes);
    const version = store.configVersion;
    this.peers.forEach((peer, place) => {
      const delayMs = PEER_DELAYS_MS[place]! * (0.8 + 0.4 * this.random());
      clock.after(delayMs, () => {
        this.view.announcements.note(version);
        this.fetcher.noteOffer(peer, version);
      });
    });
    return version;
  }

  /** Bytes of responses of the store and of parts from peers. */
  get receivedConfigBytes(): number {
    return this.link.receivedBytes - this.streamBytes;
  }

  /** Advances until a version is active; returns when it is. */
  async activeAtMs(version: number): Promise<number> {
    const {clock} = this.view;
    await clock.advanceUntil(() => this.view.configVersion >= version, 60_000);
    return clock.nowMs();
  }

  stop(): void {
    this.isStopped = true;
    this.fetcher.stop();
    this.view.stop();
  }

  /** A peer whose messages cross the link of this entry, and that has the newest version. */
  private createPeer(place: number): Peer {
    const {clock} = this.view;
    const instance = `peer-${place}`;
    const uploads = new ConfigUploads(this.peerConfig(), clock);
    const requester = {
      send: (reply: PeerMessage) => this.deliver(self, reply),
    } as Peer;
    const self: Peer = {
      hello: {
        type: 'hello',
        instance,
        role: PeerRole.ENTRY,
        zone: 'north',
        readsTypes: ['configPartRequest'],
      },
      send: (message) => {
        if (message.type !== 'configPartRequest') return;
        clock.after(PEER_ROUND_TRIP_MS, () => uploads.send(requester, message));
      },
      close: () => {},
    };
    return self;
  }

  private peerConfig(): ActiveConfig {
    const {store} = this.view;
    const {configBytes} = this;
    return {
      get version() {
        return store.configVersion;
      },
      get encodedConfig() {
        return Buffer.from(`${store.configVersion}`.padEnd(configBytes));
      },
    } as Partial<ActiveConfig> as ActiveConfig;
  }

  private deliver(from: Peer, message: PeerMessage): void {
    if (message.type !== 'configPart') return;
    const {length} = message.bytes;
    this.link.receive(length, {
      onComplete: () => {
        this.fetcher.receivePart(from, message);
      },
    });
  }

  private sendStreams(): void {
    if (this.isStopped) return;
    this.link.receive(STREAM_CHUNK.bytes, {
      onComplete: () => (this.streamBytes += STREAM_CHUNK.bytes),
    });
    this.view.clock.after(STREAM_CHUNK.everyMs, () => this.sendStreams());
  }
}
