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
import type {ZoneEvacuations} from './endpoints/zoneEvacuations.js';
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
  readonly evacuations: ZoneEvacuations;
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
  const zonesKnown = followEvacuations(following, () => mirror.probe());
  // Nothing can be sent before it is known which zones are evacuated.
  void zonesKnown.then(() => mirror.run(signal));
  void follower.run(signal);
}

/**
 * Keeps the operators' orders to evacuate zones, with calls of their own: a watch that
 * also brought configurations would let the orders wait behind them. Resolves once
 * the orders are known, or at once where there are none.
 */
function followEvacuations(
  following: StoreFollowing,
  failed: () => void,
): Promise<void> {
  const {clock, codec, evacuations, log, random, settings, signal, store} =
    following;
  if (settings.evacuateMs === undefined) return Promise.resolve();
  return new Promise((resolve) => {
    const mirror = new StoreMirror({
      sections: [
        evacuationSection(codec.evacuationPrefix, evacuations, resolve),
      ],
      store,
      listener: {returned: () => {}, lost: failed},
      clock,
      random,
      log,
      pace: {
        get waitMs() {
          return storeWatchMs(settings.settleMs);
        },
        gatherMs: 0,
      },
    });
    void mirror.run(signal);
  });
}

/** The value of an order says nothing: its key alone counts. */
function evacuationSection(
  prefix: string,
  evacuations: ZoneEvacuations,
  known: () => void,
): MirrorSection {
  const zoneOf = (key: string): string => key.slice(prefix.length);
  return {
    prefix,
    written: ({key, revision}, clearMs) =>
      evacuations.noteOrdered(zoneOf(key), revision, clearMs),
    deleted: (key, _clearMs, revision) =>
      evacuations.noteEnded(zoneOf(key), revision),
    caughtUp: (revision) => evacuations.noteKnownUpTo(revision),
    listed: (keys, revision) => {
      evacuations.noteRead(new Set([...keys].map(zoneOf)), revision);
      known();
    },
  };
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
