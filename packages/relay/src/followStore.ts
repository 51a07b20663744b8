import {gatherMs, storeWatchMs} from '@lilacledge/policy';
import type {Clock, Random} from '@lilacledge/shared';
import {ConfigFollower} from './config/configFollower.js';
import type {ConfigFollowing} from './config/configFollower.js';
import {ConfigSource} from './config/configKeeper.js';
import type {ConfigKeeper} from './config/configKeeper.js';
import {StoreMirror} from './config/storeMirror.js';
import type {MirrorPace, MirrorSection} from './config/storeMirror.js';
import type {EndpointDirectory} from './endpoints/endpointDirectory.js';
import {Registrations} from './endpoints/registrations.js';
import type {ViewGate} from './endpoints/viewGate.js';
import type {DecisionLogger} from './log/boundedLog.js';
import type {ZoneEvacuations} from './endpoints/zoneEvacuations.js';
import type {EntryPeers} from './peers/entryPeers.js';
import {memberName, toMember} from './peers/membership.js';
import type {MetadataStore, WireCodec} from './ports.js';
import type {RelaySettings} from './settings.js';
import type {RequestSuspicions} from './suspicions/requestSuspicions.js';
import {suspicionSection} from './suspicions/storedSuspicions.js';

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
  readonly suspicions: RequestSuspicions;
  /** Closed while endpoints may be known too late. */
  readonly viewGate: ViewGate;
  readonly peers: EntryPeers;
  /** Ends all watches. */
  readonly signal: AbortSignal;
}

/** What an entry asks of its view of the store. */
export interface FollowedStore {
  /** What is known may be too old: nothing is sent until the store has answered. */
  askAfresh(): void;
}

/**
 * Keeps configuration, endpoints and other entries as the store has them. One watch
 * brings endpoints and entries, and finds out when the store is away; the
 * configuration, which may be large, has calls of its own and follows in that.
 */
export function followStore(following: StoreFollowing): FollowedStore {
  const {clock, codec, config, endpoints, log, random} = following;
  const {settings, signal, store, suspicions, viewGate} = following;
  const orders = followedOrders(following);
  const beside = orders.kind === 'beside' ? orders.beside : undefined;
  const failed = (): void => mirror.probe();
  const follower = configFollower(following, failed, beside);
  const mirror: StoreMirror = new StoreMirror({
    sections: [
      endpointSection(following),
      memberSection(following),
      // Without endpoints nothing is sent: both are known together.
      suspicionSection(codec.suspicionPrefix, suspicions, log),
    ],
    store,
    listener: {
      returned(seen) {
        // Before the directory hears of entries that lapsed meanwhile.
        endpoints.noteStoreReturned(seen, settings.settleMs);
        follower.release();
      },
      lost() {
        viewGate.open();
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
  if (orders.kind === 'apart') followApart(following, orders.section, failed);
  // Nothing can be sent before it is known which zones are evacuated.
  void orders.known.then(() => mirror.run(signal));
  void follower.run(signal);
  return {
    askAfresh() {
      viewGate.close();
      mirror.probe();
    },
  };
}

/** How the operators' orders to evacuate zones are followed. */
type FollowedOrders = {
  /** Resolves once it is known which zones are evacuated. */
  readonly known: Promise<void>;
} & (
  | {readonly kind: 'none'}
  | {
      readonly kind: 'beside';
      readonly beside: NonNullable<ConfigFollowing['beside']>;
    }
  | {readonly kind: 'apart'; readonly section: MirrorSection}
);

/**
 * Orders may be as late as configurations where their bound is no shorter, and then
 * come with the same calls. Else they are followed apart: they would wait behind
 * configurations.
 */
function followedOrders(following: StoreFollowing): FollowedOrders {
  const {codec, evacuations, settings} = following;
  const {evacuateMs, configApplyMs} = settings;
  if (evacuateMs === undefined) {
    return {kind: 'none', known: Promise.resolve()};
  }
  let setKnown: () => void;
  const known = new Promise<void>((resolve) => (setKnown = resolve));
  const prefix = codec.evacuationPrefix;
  const section = evacuationSection(prefix, evacuations, () => setKnown());
  if (evacuateMs < configApplyMs) return {kind: 'apart', known, section};
  const commonPrefix = codec.operatorPrefix;
  return {kind: 'beside', known, beside: {commonPrefix, section}};
}

function followApart(
  following: StoreFollowing,
  section: MirrorSection,
  failed: () => void,
): void {
  const {clock, log, random, settings, signal, store} = following;
  const mirror = new StoreMirror({
    sections: [section],
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
  beside: ConfigFollowing['beside'],
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
    beside,
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
    caughtUp: (_revision, sentMs) => following.viewGate.noteAnswered(sentMs),
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
