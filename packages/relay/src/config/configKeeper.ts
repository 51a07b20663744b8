import type {Clock} from '@lilacledge/shared';
import type {DecisionLogger} from '../log/boundedLog.js';
import type {WireCodec} from '../ports.js';
import {RouteTable} from './routeTable.js';

/** Hears of each version that comes into force. */
export type ConfigListener = (table: RouteTable, source: ConfigSource) => void;

/** Where a version of the configuration was learned. */
export const ConfigSource = {STORE: 'store', PEER: 'peer'} as const;
export type ConfigSource = (typeof ConfigSource)[keyof typeof ConfigSource];

/** The configuration in force; its version only rises in one process. */
export class ConfigKeeper {
  private table: RouteTable | undefined;
  private bytes: Buffer | undefined;
  private readonly listeners: ConfigListener[] = [];
  private readonly waiting = new Set<() => void>();

  constructor(
    private readonly codec: WireCodec,
    private readonly clock: Clock,
    private readonly log: DecisionLogger,
  ) {}

  /** Look-ups in the version in force; undefined while none is known. */
  get current(): RouteTable | undefined {
    return this.table;
  }

  get version(): number {
    return this.table?.config.version ?? 0;
  }

  /** The version in force as the store holds it, to hand to a peer. */
  get encoded(): Buffer | undefined {
    return this.bytes;
  }

  onChange(listener: ConfigListener): void {
    this.listeners.push(listener);
  }

  /** Calls `listener` when a version comes into force; once at most. */
  onceKnown(listener: () => void): () => void {
    const own = (): void => {
      this.waiting.delete(own);
      listener();
    };
    this.waiting.add(own);
    return () => this.waiting.delete(own);
  }

  /** Takes a version that is newer than the one in force. */
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
    this.table = new RouteTable(decoded.value);
    this.bytes = bytes;
    this.log.info('config.inForce', {
      version,
      before,
      source,
      routes: decoded.value.routes.length,
      tookMs: Math.round(this.clock.nowMs() - startMs),
    });
    for (const listener of this.listeners) listener(this.table, source);
    for (const listener of this.waiting) listener();
    return true;
  }
}
