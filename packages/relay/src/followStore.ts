import {gatherMs, storeWatchMs} from '@lilacledge/policy';
import type {Clock, Random} from '@lilacledge/shared';
import {ConfigSource} from './config/configKeeper.js';
import type {ConfigKeeper} from './config/configKeeper.js';
import {StoreMirror} from './config/storeMirror.js';
import type {MirrorListener, MirrorPace} from './config/storeMirror.js';
import type {EndpointDirectory} from './endpoints/endpointDirectory.js';
import {Registrations} from './endpoints/registrations.js';
import type {DecisionLogger} from './log/boundedLog.js';
import type {EntryPeers} from './peers/entryPeers.js';
import {MEMBER_PREFIX, memberName, toMember} from './peers/membership.js';
import type {MetadataStore, WireCodec} from './ports.js';
import type {RelaySettings} from './settings.js';

/** Pause in which changes of other entries gather: they come and go seldom. */
const MEMBER_GATHER_MS = 1_000;

/** How long a watch waits whose news is bound by no time. */
const LONG_WAIT_MS = 25_000;

/** What an entry learns from the store, and what it learns it with. */
export interface StoreFollowing {
  readonly settings: RelaySettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: DecisionLogger;
  readonly store: MetadataStore;
  readonly codec: WireCodec;
  readonly config: ConfigKeeper;
  readonly endpoints: EndpointDirectory;
  readonly peers: EntryPeers;
  /** Ends all watches. */
  readonly signal: AbortSignal;
}

/**
 * Keeps configuration, endpoints and other entries as the store has them. The
 * configuration's mirror finds out when the store is away; the others wait.
 */
export function followStore(following: StoreFollowing): void {
  const {codec, config, endpoints, log, peers, settings, signal} = following;
  const registrations = new Registrations(endpoints, config, codec, log);
  const endpointMirror = mirror(
    following,
    codec.endpointPrefix,
    {
      written: (item, madeMs) => registrations.written(item, madeMs),
      deleted: (key, madeMs) => registrations.deleted(key, madeMs),
      synced: (seen) => endpoints.noteStoreReturned(seen, settings.settleMs),
      lost: () => {},
    },
    {
      // Read at each use: the bounds may change with the settings file.
      get waitMs() {
        return storeWatchMs(settings.settleMs);
      },
      get gatherMs() {
        const services = config.current?.config.services ?? [];
        const names = services.map(({name}) => name);
        return gatherMs(settings.drainMs, endpoints.viewOf(names));
      },
    },
  );
  const memberMirror = mirror(
    following,
    MEMBER_PREFIX,
    {
      written: (item) => {
        const member = toMember(item);
        if (member === undefined) {
          log.warn('member.refused', {key: item.key, revision: item.revision});
          peers.noteMemberGone(memberName(item.key));
          return;
        }
        peers.noteMember(member);
      },
      deleted: (key) => peers.noteMemberGone(memberName(key)),
      synced: () => {},
      lost: () => {},
    },
    {waitMs: LONG_WAIT_MS, gatherMs: MEMBER_GATHER_MS},
  );
  const followers = [endpointMirror, memberMirror];
  const configMirror = mirror(
    following,
    codec.configKey,
    {
      written: (item) => config.adopt(item.value, ConfigSource.STORE),
      deleted: () => log.error('config.deleted'),
      synced: (seen) => {
        // Before the endpoints' mirror hears of entries that lapsed meanwhile.
        endpoints.noteStoreReturned(seen, settings.settleMs);
        for (const follower of followers) follower.release();
      },
      lost: () => {
        endpoints.noteStoreLost();
        for (const follower of followers) follower.hold();
      },
    },
    {
      get waitMs() {
        return storeWatchMs(settings.settleMs);
      },
      gatherMs: 0,
    },
  );
  for (const each of [configMirror, ...followers]) void each.run(signal);
}

function mirror(
  following: StoreFollowing,
  prefix: string,
  listener: MirrorListener,
  pace: MirrorPace,
): StoreMirror {
  const {store, clock, random, log} = following;
  return new StoreMirror(prefix, store, listener, clock, random, log, pace);
}
