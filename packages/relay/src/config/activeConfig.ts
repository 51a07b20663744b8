import type {Clock} from '@lilacledge/shared';
import type {Logger} from '../log/boundedLog.js';
import type {WireCodec} from '../ports.js';
import {PeerAnnouncements} from './peerAnnouncements.js';
import {RouteTable} from './routeTable.js';

/** Called with each version that becomes active. */
export type ConfigListener = (table: RouteTable, source: ConfigSource) => void;

/** Where a version of the configuration came from. */
export const ConfigSource = {STORE: 'store', PEER: 'peer'} as const;
export type ConfigSource = (typeof ConfigSource)[keyof typeof ConfigSource];

/** Holds the active configuration, whose version only increases within one process. */
export class ActiveConfig {
  /** When a response of the store last progressed; undefined if none is arriving. */
  storeProgressMs: number | undefined;
  /** What peers have announced. */
  readonly announcements: PeerAnnouncements;
  private activeTable: RouteTable | undefined;
  /** The active version in the store's encoding. */
  private bytes: Buffer | undefined;
  private readonly listeners: ConfigListener[] = [];
  /** Listeners to be called once, for the next version. */
  private readonly waiting = new Set<() => void>();

  constructor(
    private readonly codec: WireCodec,
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {
    this.announcements = new PeerAnnouncements(clock);
  }

  /** Lookups in the active version; undefined until one is known. */
  get current(): RouteTable | undefined {
    return this.activeTable;
  }

  get version(): number {
    return this.activeTable?.config.version ?? 0;
  }

  /** The active version in the store's encoding, to send to peers. */
  get encodedConfig(): Buffer | undefined {
    return this.bytes;
  }

  onChange(listener: ConfigListener): void {
    this.listeners.push(listener);
  }

  /**
   * Calls `listener` once, when the next version becomes active. Returns a function that
   * removes the listener.
   */
  onNextChange(listener: () => void): () => void {
    const runOnce = (): void => {
      this.waiting.delete(runOnce);
      listener();
    };
    this.waiting.add(runOnce);
    return () => this.waiting.delete(runOnce);
  }

  /** Activates an encoded version if it is valid and newer; returns whether it was. */
  adopt(bytes: Buffer, source: ConfigSource): boolean {
    const startMs = this.clock.nowMs();
    const decoded = this.codec.decodeConfig(bytes);
    if (!decoded.ok) {
      this.log.error('config.refused', {source, problem: decoded.problem});
      return false;
    }
    const {version} = decoded.value;
    if (version <= this.version) return false;
    const before = this.version;
    this.activeTable = new RouteTable(decoded.value);
    this.bytes = bytes;
    this.log.info('config.inForce', {
      version,
      before,
      source,
      routes: decoded.value.routes.length,
      tookMs: Math.round(this.clock.nowMs() - startMs),
    });
    for (const listener of this.listeners) listener(this.activeTable, source);
    for (const listener of this.waiting) listener();
    return true;
  }
}
