import {gatherMs, storeWatchMs} from '@lilacledge/policy';
import type {Clock, Random} from '@lilacledge/shared';
import {ConfigFollower} from './config/configFollower.js';
import {ConfigSource} from './config/configKeeper.js';
import type {ConfigKeeper} from './config/configKeeper.js';
import {StoreMirror} from './config/storeMirror.js';
import type {MirrorPace, MirrorSection} from './config/storeMirror.js';
import type {EndpointDirectory} from './endpoints/endpointDirectory.js';
import {Registrations} from './endpoints/registrations.js';
import type {DecisionLogger} from './log/boundedLog.js';
import type {EntryPeers} from './peers/entryPeers.js';
import {memberName, toMember} from './peers/membership.js';
import type {MetadataStore, WireCodec} from './ports.js';
import type {RelaySettings} from './settings.js';

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
 * Keeps configuration, endpoints and other entries as the store has them. One watch
 * brings endpoints and entries, and finds out when the store is away; the
 * configuration, which may be large, has calls of its own and follows in that.
 */
export function followStore(following: StoreFollowing): void {
  const {clock, config, endpoints, log, random, settings, signal, store} =
    following;
  const follower = configFollower(following, () => mirror.probe());
  const mirror: StoreMirror = new StoreMirror({
    sections: [endpointSection(following), memberSection(following)],
    store,
    listener: {
      returned(seen) {
        // Before the directory hears of entries that lapsed meanwhile.
        endpoints.noteStoreReturned(seen, settings.settleMs);
        follower.release();
      },
      lost() {
        endpoints.noteStoreLost();
        follower.hold();
      },
    },
    clock,
    random,
    log,
    pace: watchPace(following),
  });
  config.onChange((_table, source) => {
    if (source === ConfigSource.PEER) follower.noteOvertaken();
  });
  void mirror.run(signal);
  void follower.run(signal);
}

function configFollower(
  following: StoreFollowing,
  failed: () => void,
): ConfigFollower {
  const {clock, codec, config, log, random, settings, store} = following;
  return new ConfigFollower({
    key: codec.configKey,
    store,
    clock,
    random,
    log,
    // Peers do not back it: what deafens one watch may deafen theirs too.
    waitMs: () => storeWatchMs(settings.settleMs),
    applyBoundMs: () => settings.configApplyMs,
    written: (value) => config.adopt(value, ConfigSource.STORE),
    deleted: () => log.error('config.deleted'),
    failed,
  });
}

/** Read at each use: the bounds may change with the settings file. */
function watchPace(following: StoreFollowing): MirrorPace {
  const {config, endpoints, settings} = following;
  return {
    get waitMs() {
      return storeWatchMs(settings.settleMs);
    },
    get gatherMs() {
      const services = config.current?.config.services ?? [];
      const names = services.map(({name}) => name);
      return gatherMs(settings.drainMs, endpoints.viewOf(names));
    },
  };
}

function endpointSection(following: StoreFollowing): MirrorSection {
  const {codec, config, endpoints, log} = following;
  const registrations = new Registrations(endpoints, config, codec, log);
  return {
    prefix: codec.endpointPrefix,
    written: (item, clearMs) => registrations.written(item, clearMs),
    deleted: (key, clearMs) => registrations.deleted(key, clearMs),
  };
}

function memberSection({codec, log, peers}: StoreFollowing): MirrorSection {
  const prefix = codec.memberPrefix;
  return {
    prefix,
    written: (item) => {
      const member = toMember(item, prefix);
      if (member === undefined) {
        log.warn('member.refused', {key: item.key, revision: item.revision});
        peers.noteMemberGone(memberName(item.key, prefix));
        return;
      }
      peers.noteMember(member);
    },
    deleted: (key) => peers.noteMemberGone(memberName(key, prefix)),
  };
}
