import {gatherMs, storeWatchMs} from '@lilacledge/policy';
import type {Clock, Random} from '@lilacledge/shared';
import {ConfigSource} from './config/configKeeper.js';
import type {ConfigKeeper} from './config/configKeeper.js';
import {StoreMirror} from './config/storeMirror.js';
import type {MirrorSection} from './config/storeMirror.js';
import type {EndpointDirectory} from './endpoints/endpointDirectory.js';
import {Registrations} from './endpoints/registrations.js';
import type {DecisionLogger} from './log/boundedLog.js';
import type {EntryPeers} from './peers/entryPeers.js';
import {MEMBER_PREFIX, memberName, toMember} from './peers/membership.js';
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

/** Keeps configuration, endpoints and other entries as the store has them. */
export function followStore(following: StoreFollowing): void {
  const {clock, config, endpoints, log, random, settings, signal, store} =
    following;
  const mirror = new StoreMirror({
    sections: [
      configSection(following),
      endpointSection(following),
      memberSection(following),
    ],
    store,
    listener: {
      // Before the directory hears of entries that lapsed meanwhile.
      returned: (seen) => endpoints.noteStoreReturned(seen, settings.settleMs),
      lost: () => endpoints.noteStoreLost(),
    },
    clock,
    random,
    log,
    pace: {
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
  });
  void mirror.run(signal);
}

function configSection({codec, config, log}: StoreFollowing): MirrorSection {
  return {
    prefix: codec.configKey,
    written: (item) => config.adopt(item.value, ConfigSource.STORE),
    deleted: () => log.error('config.deleted'),
  };
}

function endpointSection(following: StoreFollowing): MirrorSection {
  const {codec, config, endpoints, log} = following;
  const registrations = new Registrations(endpoints, config, codec, log);
  return {
    prefix: codec.endpointPrefix,
    written: (item, madeMs) => registrations.written(item, madeMs),
    deleted: (key, madeMs) => registrations.deleted(key, madeMs),
  };
}

function memberSection({log, peers}: StoreFollowing): MirrorSection {
  return {
    prefix: MEMBER_PREFIX,
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
  };
}
