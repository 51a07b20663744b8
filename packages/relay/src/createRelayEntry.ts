import {
  CallTimes,
  EnginePace,
  PauseRisk,
  PromptSizes,
  RetryBudgets,
  UrgentReserve,
} from '@lilacledge/policy';
import type {Clock, ClockGap, Random} from '@lilacledge/shared';
import {ActiveConfig} from './config/activeConfig.js';
import {instrumentStore} from './config/instrumentedStore.js';
import {checkHealth} from './endpoints/checkHealth.js';
import {SendLimits} from './endpoints/sendLimits.js';
import {EndpointDirectory} from './endpoints/endpointDirectory.js';
import {SilenceProbes} from './endpoints/silenceProbes.js';
import {EndpointAnnouncements} from './endpoints/endpointAnnouncements.js';
import {ZoneEvacuations} from './endpoints/zoneEvacuations.js';
import {ViewGate} from './endpoints/viewGate.js';
import {ZoneLoads} from './endpoints/zoneLoads.js';
import {createEntryCallers} from './entry/entryCallers.js';
import {addAllGauges} from './entry/entryGauges.js';
import {closeServers, listenForCallers} from './entry/entryServers.js';
import {shutDownEntry} from './entry/entryShutdown.js';
import {createHeldPayloads} from './entry/heldPayloads.js';
import {createIncarnationId} from './entry/incarnationId.js';
import {createRunMoves} from './entry/runMoves.js';
import {CallerConnections} from './http/callerConnections.js';
import {listen} from './http/listen.js';
import {startMetricsServer} from './http/metricsServer.js';
import {createReadinessServer} from './http/readinessServer.js';
import type {LogFields, Logger} from './log/boundedLog.js';
import {EntryPeers} from './peers/entryPeers.js';
import {keepRegistered} from './peers/membership.js';
import type {MetadataStore, WireCodec} from './ports.js';
import {startStoreSync} from './storeSync.js';
import {PerService} from './perService.js';
import {createRelayMetrics} from './relayMetrics.js';
import type {RelayMetrics} from './relayMetrics.js';
import {AdmissionQueue} from './requests/admissionQueue.js';
import type {EngineReservation} from './requests/generationAdmission.js';
import {EntryClosing} from './requests/closingState.js';
import {FleetDemands} from './requests/fleetDemands.js';
import {HeldStreams} from './requests/heldEvents.js';
import type {RelayContext} from './requests/relayContext.js';
import {RunRegistry} from './requests/runRegistry.js';
import {heldBytesLimit} from './settings.js';
import {retryAllowance} from './retryAllowance.js';
import type {RelaySettings} from './settings.js';
import {RequestSuspicions} from './suspicions/requestSuspicions.js';
import {storeQuarantines} from './suspicions/storedSuspicions.js';
import type {Switches} from './switches.js';

/** The external dependencies of an entry. */
export interface RelayPorts {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly store: MetadataStore;
  readonly codec: WireCodec;
  readonly switches: Switches;
}

/** A running entry. */
export interface RelayEntry {
  readonly metrics: RelayMetrics;
  /** What the entry holds now, for the log. */
  state(): LogFields;
  /** Stops after all requests have ended, or at the end of the grace period. */
  shutdown(): Promise<void>;
  /** Counts a suspension or clock step, and refreshes the view of the store if needed. */
  noteClockGap(gap: ClockGap): void;
  /** Stops at once and closes open connections. */
  stop(): void;
}

/** Starts an entry: servers for callers, readiness and metrics, peer links and store sync. */
export function startRelayEntry(
  ports: RelayPorts,
  settings: RelaySettings,
): RelayEntry {
  const {clock, log, codec, random, switches} = ports;
  const stopped = new AbortController();
  /** Aborted once the entry begins to leave. */
  const leaving = new AbortController();
  const closing = new EntryClosing({
    takeRelease: (socket) => connections.takeRelease(socket),
    hasRequestBehind: (response) => turns.hasRequestBehind(response),
  });
  const metrics = createRelayMetrics(settings.zone);
  const connections = new CallerConnections({
    clock,
    log,
    linkMbps: settings.linkMbps,
    fileDescriptors: settings.fileDescriptors,
    memoryMb: () => settings.memoryMb,
    isLimiting: switches.connectionLimits,
    saturatedShare: () => peers.saturation.saturatedShare,
    isAlone: () => peers.saturation.isAloneInZone,
    onMeasured: (isSaturated) => peers.saturation.noteOwn(isSaturated),
    onClosedUnread: (cause) => metrics.connectionsClosedUnread.inc({cause}),
    onClosedWithRequests: (by) =>
      metrics.connectionsClosedWithRequests.inc({by}),
    onClosed: () => held.heap.noteConnectionClosed(),
  });
  const held = createHeldPayloads({
    settings,
    clock,
    log,
    metrics,
    takeReadingTurn: () => connections.takeReadingTurn(),
  });
  const store = instrumentStore(ports.store, metrics, held.garbage);
  const config = new ActiveConfig(codec, clock, log);
  const evacuations = new ZoneEvacuations(
    clock,
    log,
    () => settings.evacuateMs ?? Number.POSITIVE_INFINITY,
  );
  const endpoints = new EndpointDirectory(clock, log, switches, evacuations);
  const allowance = retryAllowance(settings, switches);
  const life = createIncarnationId(settings, random);
  const retryBudgets = new RetryBudgets(
    settings.isFirstStart,
    allowance,
    {
      entries: () => peers.entryCount,
      isCurrent: () => endpoints.storeContact.answersForMs !== undefined,
    },
    clock,
  );
  const callTimes = new PerService(() => new CallTimes());
  const paces = new PerService(() => new EnginePace(switches.learnedPace));
  const pauseRisks = new PerService(() => new PauseRisk());
  const promptSizes = new PerService(() => new PromptSizes());
  const urgentReserves = new PerService(() => new UrgentReserve());
  const runs = new RunRegistry();
  const demands = new FleetDemands({
    clock,
    random,
    switches,
    origin: life,
    entryCount: () => peers.entryCount,
    runs: () => runs.all(),
    rankOf: (organisation) =>
      config.current?.organisationRank(organisation) ?? 0,
  });
  const admissions = new PerService(
    (service) =>
      new AdmissionQueue<EngineReservation>(
        clock,
        random,
        switches,
        demands.of(service),
      ),
  );
  const context: RelayContext = {
    settings,
    switches,
    clock,
    random,
    log,
    metrics,
    codec,
    endpoints,
    statements: new EndpointAnnouncements(
      clock,
      log,
      endpoints,
      settings.instanceName,
    ),
    evacuations,
    sendLimits: new SendLimits(
      clock,
      (service) => config.current?.findService(service)?.warmUp,
      {self: settings.instanceName, members: () => peers.entryNames},
      () => settings.settleMs,
    ),
    silenceProbes: new SilenceProbes({
      clock,
      log,
      isKnown: ({id, announced}) => endpoints.get(id)?.announced === announced,
      silentAfterMs: ({record, speed}) =>
        callTimes
          .of(record.service)
          .silentAfterMs(speed.slowness(clock.nowMs())),
      healthPathOf: ({record}) => {
        const service = config.current?.findService(record.service);
        return service?.engine === undefined ? service?.healthPath : undefined;
      },
      check: checkHealth,
      signal: stopped.signal,
    }),
    suspicions: new RequestSuspicions(clock, log, {
      self: settings.instanceName,
      members: () => peers.entryNames,
    }),
    viewGate: new ViewGate(clock),
    closing,
    runs,
    heldStreams: new HeldStreams(clock, () => heldBytesLimit(settings)),
    heldBodies: held.heldBodies,
    heldAnswers: held.heldAnswers,
    readingTurns: held.readingTurns,
    retryBudgets,
    callTimesOf: (service) => callTimes.of(service),
    paceOf: (service) => paces.of(service),
    pauseRiskOf: (service) => pauseRisks.of(service),
    promptSizesOf: (service) => promptSizes.of(service),
    urgentReserveOf: (service) => urgentReserves.of(service),
    demands,
    admissionOf: (service) => admissions.of(service),
    entryCount: () => peers.entryCount,
    queryLoads: (queried, prompt) => peers.queryLoads(queried, prompt),
    borrowRetry: (service, kind) => peers.borrowRetry(service, kind),
    releaseLoads: (queried, prompt) => peers.releaseLoads(queried, prompt),
    zoneLoads: new ZoneLoads(),
  };
  const {evacuator, balance} = createRunMoves(context, config, () => peers);
  const linkAddress = settings.control ?? {
    host: settings.host,
    port: settings.linkPort,
  };
  const peers: EntryPeers = new EntryPeers(
    context,
    config,
    ({requestId, isForBalance}) =>
      isForBalance === true
        ? balance.grant(requestId)
        : evacuator.move(requestId),
    linkAddress,
  );
  context.runs.setListener(peers);
  if (switches.balanceMoves) balance.start();
  endpoints.onLeaving(
    (endpoint) => void evacuator.moveRunsWithoutSidecar(endpoint),
  );
  const linkServer = peers.start();
  const listenOptions = {
    clock,
    random,
    log,
    graceMs: settings.graceMs,
    signal: leaving.signal,
  };
  const links = listen(linkServer, linkAddress, {
    ...listenOptions,
    purpose: 'links',
  });
  const metricsServer = startMetricsServer(
    metrics.registry,
    {host: settings.host, port: settings.metricsPort},
    listenOptions,
  );
  const member = {
    instance: settings.instanceName,
    address: linkAddress,
    zone: settings.zone,
  };
  // Peers dial the address as soon as it is registered.
  const registration = links.opened.then(() =>
    keepRegistered(
      member,
      codec.memberPrefix,
      store,
      clock,
      log,
      stopped.signal,
    ),
  );

  storeQuarantines({
    store,
    prefix: codec.suspicionPrefix,
    clock,
    log,
    suspicions: context.suspicions,
    signal: stopped.signal,
  });
  const {callers, turns} = createEntryCallers(
    context,
    config,
    connections,
    leaving.signal,
  );
  const storeSync = startStoreSync({
    settings,
    clock,
    random,
    log,
    store,
    codec,
    config,
    endpoints,
    evacuations,
    suspicions: context.suspicions,
    viewGate: context.viewGate,
    peers,
    signal: stopped.signal,
  });
  const readiness = createReadinessServer(codec.readinessPath, isReady);
  addAllGauges(context, {
    connections,
    turns,
    paces,
    urgentReserves,
    admissions,
  });
  const needed = [
    links,
    ...listenForCallers(settings, callers.server, readiness, listenOptions),
  ];

  function isReady(): boolean {
    if (closing.isClosing || !needed.every(({isOpen}) => isOpen)) return false;
    return config.current !== undefined && endpoints.size > 0;
  }

  function shutdown(): Promise<void> {
    return shutDownEntry({
      clock,
      log,
      settings,
      closing,
      connections,
      turns,
      leaving,
      registration,
      stop,
    });
  }

  function stop(): void {
    leaving.abort();
    stopped.abort();
    balance.stop();
    demands.stop();
    peers.stop();
    closeServers([callers.server, readiness, linkServer, metricsServer]);
  }

  function noteClockGap({kind}: ClockGap): void {
    metrics.clockGaps.inc({kind});
    if (kind !== 'stepped') storeSync.refresh();
  }

  function state(): LogFields {
    return {
      openRequests: connections.open.requestCount,
      openConnections: connections.openCount,
      openRuns: context.runs.size,
      heldBytes: context.heldStreams.totalBytes,
    };
  }

  return {metrics, state, shutdown, noteClockGap, stop};
}
