import {batchDelayMs, storeWatchTimeoutMs} from '@lilacledge/policy';
import type {Clock, Random} from '@lilacledge/shared';
import {ConfigWatcher} from './config/configWatcher.js';
import type {ConfigWatcherOptions} from './config/configWatcherOptions.js';
import {ConfigSource} from './config/activeConfig.js';
import type {ActiveConfig} from './config/activeConfig.js';
import {StoreWatcher} from './config/storeWatcher.js';
import type {WatchTiming, PrefixHandler} from './config/storeWatcher.js';
import type {EndpointDirectory} from './endpoints/endpointDirectory.js';
import {Registrations} from './endpoints/registrations.js';
import type {ViewGate} from './endpoints/viewGate.js';
import type {Logger} from './log/boundedLog.js';
import type {ZoneEvacuations} from './endpoints/zoneEvacuations.js';
import type {EntryPeers} from './peers/entryPeers.js';
import {instanceOfKey, parseMember} from './peers/membership.js';
import type {MetadataStore, WireCodec} from './ports.js';
import type {RelaySettings} from './settings.js';
import type {RequestSuspicions} from './suspicions/requestSuspicions.js';
import {storedSuspicionSection} from './suspicions/storedSuspicions.js';

/** What a store sync reads with, and the state that it updates. */
export interface StoreSyncOptions {
  readonly settings: RelaySettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly store: MetadataStore;
  readonly codec: WireCodec;
  readonly config: ActiveConfig;
  readonly endpoints: EndpointDirectory;
  readonly evacuations: ZoneEvacuations;
  readonly suspicions: RequestSuspicions;
  /** Closed while the known endpoints may be outdated. */
  readonly viewGate: ViewGate;
  readonly peers: EntryPeers;
  /** Stops all watches when aborted. */
  readonly signal: AbortSignal;
}

/** A running synchronisation of an entry with the metadata store. */
export interface StoreSync {
  /** Queries the store at once; sends wait until it answers or is found to be unavailable. */
  refresh(): void;
}

/**
 * Keeps an entry's configuration, endpoints and peers in sync with the metadata store. One
 * watch covers endpoints and entries and detects when the store is unavailable. The
 * configuration may be large, so it has its own calls, which pause and resume with that watch.
 */
export function startStoreSync(options: StoreSyncOptions): StoreSync {
  const {clock, codec, config, endpoints, log, random} = options;
  const {settings, signal, store, suspicions, viewGate} = options;
  const orders = createEvacuationWatch(options);
  const sharedWatch = orders.kind === 'shared' ? orders.sharedWatch : undefined;
  const registrations = new Registrations(
    endpoints,
    config,
    codec,
    log,
    clock,
    () => settings.heartbeatMs,
  );
  const failed = (): void => watcher.probe();
  const configWatcher = createConfigWatcher(options, failed, sharedWatch);
  const watcher: StoreWatcher = new StoreWatcher({
    handlers: [
      createEndpointHandler(options, registrations),
      createMemberHandler(options),
      // The same watch brings suspicions and endpoints, so nothing is sent before both are known.
      storedSuspicionSection(codec.suspicionPrefix, suspicions, log),
    ],
    store,
    listener: {
      becameAvailable(seen) {
        // Must precede the deletions of registrations that expired during the outage.
        endpoints.noteStoreAvailable(seen, settings.settleMs);
        configWatcher.resume();
      },
      becameUnavailable() {
        viewGate.open();
        endpoints.noteStoreUnavailable();
        configWatcher.pause();
      },
    },
    clock,
    random,
    log,
    timing: createWatchTiming(options),
  });
  store.onRestored((era) => {
    log.warn('store.restored', {era});
    endpoints.noteStoreRestored(settings.settleMs);
    registrations.noteStoreRestored();
  });
  config.onChange((_table, source) => {
    if (source === ConfigSource.PEER) configWatcher.noteNewerAtPeer();
  });
  if (orders.kind === 'separate') watchOrders(options, orders.handler, failed);
  // Endpoints are read only after the evacuated zones, so nothing is sent before these are known.
  void orders.known.then(() => watcher.run(signal));
  void configWatcher.run(signal);
  return {
    refresh() {
      viewGate.close();
      watcher.probe();
    },
  };
}

/** How the operators' orders to evacuate zones are watched. */
type EvacuationWatch = {
  /** Resolves once the evacuated zones are known. */
  readonly known: Promise<void>;
} & (
  | {readonly kind: 'none'}
  /** The calls that read the configuration also read the orders. */
  | {
      readonly kind: 'shared';
      readonly sharedWatch: NonNullable<ConfigWatcherOptions['sharedWatch']>;
    }
  | {readonly kind: 'separate'; readonly handler: PrefixHandler}
);

/**
 * Evacuation orders share the calls of the configuration unless their deadline is shorter.
 * Orders with a shorter deadline get a separate watch, so that a large configuration doesn't
 * delay them.
 */
function createEvacuationWatch(options: StoreSyncOptions): EvacuationWatch {
  const {codec, evacuations, settings} = options;
  const {evacuateMs, configApplyMs} = settings;
  if (evacuateMs === undefined) {
    return {kind: 'none', known: Promise.resolve()};
  }
  let setKnown: () => void;
  const known = new Promise<void>((resolve) => (setKnown = resolve));
  const prefix = codec.evacuationPrefix;
  const handler = createEvacuationHandler(prefix, evacuations, () =>
    setKnown(),
  );
  if (evacuateMs < configApplyMs) return {kind: 'separate', known, handler};
  const commonPrefix = codec.operatorPrefix;
  return {
    kind: 'shared',
    known,
    sharedWatch: {commonPrefix, handler: handler},
  };
}

function watchOrders(
  options: StoreSyncOptions,
  handler: PrefixHandler,
  failed: () => void,
): void {
  const {clock, log, random, settings, signal, store} = options;
  const watcher = new StoreWatcher({
    handlers: [handler],
    store,
    listener: {becameAvailable: () => {}, becameUnavailable: failed},
    clock,
    random,
    log,
    timing: {
      get waitMs() {
        return storeWatchTimeoutMs(settings.settleMs);
      },
      batchDelayMs: 0,
    },
  });
  void watcher.run(signal);
}

/** Handles evacuation orders; only the key of an order carries information. */
function createEvacuationHandler(
  prefix: string,
  evacuations: ZoneEvacuations,
  onKnown: () => void,
): PrefixHandler {
  const zoneOf = (key: string): string => key.slice(prefix.length);
  return {
    prefix,
    read:
      ({key, revision}) =>
      (clearMs) =>
        evacuations.noteOrdered(zoneOf(key), revision, clearMs),
    deleted: (key, _clearMs, revision) =>
      evacuations.noteEnded(zoneOf(key), revision),
    caughtUp: (revision) => evacuations.noteKnownUpTo(revision),
    listed: (keys, revision) => {
      evacuations.noteRead(new Set([...keys].map(zoneOf)), revision);
      onKnown();
    },
  };
}

function createConfigWatcher(
  options: StoreSyncOptions,
  failed: () => void,
  sharedWatch: ConfigWatcherOptions['sharedWatch'],
): ConfigWatcher {
  const {clock, codec, config, log, peers, random, settings, store} = options;
  return new ConfigWatcher({
    key: codec.configKey,
    store,
    clock,
    random,
    log,
    // Peers don't justify a longer wait: a fault that stalls this watch may stall theirs too.
    waitMs: () => storeWatchTimeoutMs(settings.settleMs),
    applyBoundMs: () => settings.configApplyMs,
    announced: () => config.announcements.compareTo(config.version),
    peerProgressMs: () => peers.configProgressMs,
    written: (value) => config.adopt(value, ConfigSource.STORE),
    deleted: () => log.error('config.deleted'),
    failed,
    progressed: (atMs) => {
      config.storeProgressMs = atMs;
    },
    sharedWatch: sharedWatch,
  });
}

/** Evaluated at each use, since a reload of the settings file may change the values. */
function createWatchTiming(options: StoreSyncOptions): WatchTiming {
  const {config, endpoints, settings} = options;
  return {
    get waitMs() {
      return storeWatchTimeoutMs(settings.settleMs);
    },
    get batchDelayMs() {
      const services = config.current?.config.services ?? [];
      const names = services.map(({name}) => name);
      return batchDelayMs(settings.drainMs, endpoints.viewOf(names));
    },
  };
}

function createEndpointHandler(
  options: StoreSyncOptions,
  registrations: Registrations,
): PrefixHandler {
  return {
    prefix: options.codec.endpointPrefix,
    read: (item) => registrations.read(item),
    deleted: (key, clearMs) => registrations.deleted(key, clearMs),
    caughtUp: (_revision, sentMs) => options.viewGate.noteStoreResponse(sentMs),
  };
}

function createMemberHandler({
  codec,
  log,
  peers,
}: StoreSyncOptions): PrefixHandler {
  const prefix = codec.memberPrefix;
  return {
    prefix,
    read: (item) => {
      const member = parseMember(item, prefix);
      const {key, revision} = item;
      return () => {
        if (member === undefined) {
          log.warn('member.refused', {key, revision});
          peers.noteMemberExpired(instanceOfKey(key, prefix));
          return;
        }
        peers.noteMemberRegistered(member);
      };
    },
    deleted: (key) => peers.noteMemberExpired(instanceOfKey(key, prefix)),
  };
}
