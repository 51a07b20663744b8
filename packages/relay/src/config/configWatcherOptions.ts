import type {Announcement} from '@lilacledge/policy';
import type {Clock, Random} from '@lilacledge/shared';
import type {Logger} from '../log/boundedLog.js';
import type {MetadataStore} from '../ports.js';
import type {PrefixHandler} from './storeWatcher.js';

/** What the watch of the configuration is given, and whom it tells what it finds. */
export interface ConfigWatcherOptions {
  readonly key: string;
  readonly store: MetadataStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  /** How long one watch waits; a dead connection is detected soon after. */
  waitMs(): number;
  /** Maximum time until a new version must be active. */
  applyBoundMs(): number;
  /** What peers have announced, compared to the active version. */
  announced(): Announcement;
  /** When a peer's copy of a newer version last progressed; undefined if none is expected. */
  peerProgressMs(): number | undefined;
  /** Called with the value of each new version. */
  written(value: Buffer): void;
  deleted(): void;
  /** A call failed: the store may be unavailable. */
  failed(): void;
  /** A response arrives: when it last progressed; undefined once its call has ended. */
  progressed(atMs: number | undefined): void;
  /**
   * Another prefix that is watched with the same calls. Only its keys and that of the
   * configuration start with `commonPrefix`.
   */
  readonly sharedWatch?: {
    readonly commonPrefix: string;
    readonly handler: PrefixHandler;
  };
}
