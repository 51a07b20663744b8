import {Agent} from 'node:http';
import {plausibleStartMs} from '@lilacledge/policy';
import {assertNever, sleep} from '@lilacledge/shared';
import type {Clock, Random} from '@lilacledge/shared';
import {listAllPages} from './config/storeReads.js';
import {callHttp} from './http/callHttp.js';
import {listen} from './http/listen.js';
import {startMetricsServer} from './http/metricsServer.js';
import type {LogFields, Logger} from './log/boundedLog.js';
import {formatAddress} from './model/index.js';
import type {EndpointAddress, EngineReport} from './model/index.js';
import {entriesForSidecar} from './peers/linkPlan.js';
import {parseMember} from './peers/membership.js';
import type {Member} from './peers/membership.js';
import {PeerMesh} from './peers/peerMesh.js';
import type {Peer} from './peers/peerMesh.js';
import {PeerRole} from './peers/peerMessages.js';
import type {PeerMessage} from './peers/peerMessages.js';
import type {MetadataStore, StoreItem, WireCodec} from './ports.js';
import {addMemoryGauge} from './process/processMemory.js';
import type {OwnedRun} from './evacuation/linkGrants.js';
import {EngineCommitments} from './sidecar/engineCommitments.js';
import {EngineIncarnation} from './sidecar/engineIncarnation.js';
import {EntryLinks} from './sidecar/entryLinks.js';
import {ReportPacer} from './sidecar/reportPacer.js';
import {createSidecarMetrics} from './sidecarMetrics.js';
import type {RelaySettings} from './settings.js';
import type {Switches} from './switches.js';

/** Time between two polls of the engine; requests from its own machine are free of charge. */
const POLL_INTERVAL_MS = 60;

/** Generous: an engine on the same machine answers in a few milliseconds. */
const POLL_TIMEOUT_MS = 400;

/** How often entries are looked up in the store while the sidecar has no link. */
const LOOKUP_INTERVAL_MS = 1_000;

/** The external dependencies of a sidecar. */
export interface SidecarPorts {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly store: MetadataStore;
  readonly codec: WireCodec;
  readonly switches: Switches;
}

/** A running sidecar. */
export interface RelaySidecar {
  /** What the sidecar holds now, for the log. */
  state(): LogFields;
  stop(): void;
}

/** Starts a sidecar, which reports its engine's load to entries and schedules run moves. */
export function startRelaySidecar(
  ports: SidecarPorts,
  settings: RelaySettings,
): RelaySidecar {
  const {clock, log, codec, random, store, switches} = ports;
  const endpoint = settings.endpoint;
  if (endpoint === undefined) throw new Error('a sidecar needs an endpoint');
  const engineAddress: EndpointAddress = endpoint;
  const stopped = new AbortController();
  const agent = new Agent({keepAlive: true, maxSockets: 1});
  const runs = new Map<string, OwnedRun>();
  const commitments = new EngineCommitments(
    clock,
    runs,
    () => engine.outputTokenMs,
  );
  let report: EngineReport | undefined;
  /** Start time that the engine told last and that can't be right. */
  let ignoredStartMs: number | undefined;
  let linkCount = 0;
  const pacer = new ReportPacer(clock, () => linkCount);

  const mesh = new PeerMesh(
    {
      type: 'hello',
      instance: settings.instanceName,
      role: PeerRole.SIDECAR,
      zone: settings.zone,
      endpointAddress: formatAddress(engineAddress),
      readsTypes: ['moveAsk'],
    },
    {
      opened: (peer) => {
        linkCount++;
        if (pacer.lastSent !== undefined) peer.send(pacer.lastSent);
      },
      message: handleMessage,
      closed: (peer) => {
        linkCount--;
        for (const [id, run] of runs) if (run.owner === peer) runs.delete(id);
        engine.noteEntryLost(peer);
      },
    },
    clock,
    random,
    log,
    () => settings.settleMs,
  );
  const entryLinks = new EntryLinks(settings.zone, mesh);
  const metrics = createSidecarMetrics();
  addMemoryGauge(metrics.registry);
  const incarnationOptions = {
    clock,
    log,
    metrics,
    runs,
    switches,
    report: () => report,
  };
  let engine = new EngineIncarnation(undefined, incarnationOptions);
  const {host, linkPort, metricsPort, graceMs} = settings;
  const listenOptions = {clock, random, log, graceMs, signal: stopped.signal};
  const metricsServer = startMetricsServer(
    metrics.registry,
    {host, port: metricsPort},
    listenOptions,
  );
  // Entries of other zones connect while they have runs at this engine.
  const linkServer = mesh.createServer();
  listen(
    linkServer,
    {host, port: linkPort},
    {...listenOptions, purpose: 'links'},
  );
  for (const seed of settings.seeds) entryLinks.dial(seed);
  void pollEngine();
  void lookUpEntries();

  function handleMessage(peer: Peer, message: PeerMessage): void {
    switch (message.type) {
      case 'members':
        entryLinks.updateMembers(message);
        return;
      case 'runStarted': {
        const {requestId, promptTokens, expectedOutputTokens} = message;
        const {startedAtMs, tellsPace, enginePriority} = message;
        if (tellsPace === true) engine.noteTellsPace();
        if (enginePriority !== undefined) commitments.noteOrdered();
        commitments.release(requestId);
        runs.set(requestId, {
          owner: peer,
          promptTokens,
          expectedOutputTokens,
          enginePriority,
          startedAtMs,
        });
        return;
      }
      case 'loadAsk': {
        const {requestId, promptTokens, enginePriority} = message;
        if (enginePriority !== undefined) commitments.noteOrdered();
        if (report !== undefined) peer.send(commitments.loadForQuery(report));
        commitments.reserve(requestId, promptTokens, enginePriority);
        return;
      }
      case 'loadRelease':
        commitments.release(message.requestId);
        return;
      case 'runEnded':
        runs.delete(message.requestId);
        return;
      case 'moveAsk':
        engine.askMove(peer, message);
        return;
      case 'moveDone':
        engine.finishMove(message.requestId, message.isMoved);
        return;
      case 'copyAsk': {
        const {requestId, tokens} = message;
        const isFree = engine.copies.tryAcquire(requestId, tokens);
        peer.send({type: 'copyAnswer', requestId, isFree});
        return;
      }
      case 'copyDone':
        engine.copies.release(message.requestId);
        return;
      case 'hello':
      case 'alive':
      case 'configNotice':
      case 'configRequest':
      case 'configBody':
      case 'configPartRequest':
      case 'configPart':
      case 'engineLoad':
      case 'moveGrant':
      case 'copyAnswer':
      case 'zoneLoad':
      case 'endpointDoubted':
      case 'endpointLimit':
      case 'zoneStatus':
      case 'suspicion':
      case 'longSuspicion':
      case 'retryUse':
      case 'entryCount':
      case 'retryLoanAsk':
      case 'retryLoanAnswer':
      case 'retryLoanSettled':
      case 'formerRetryUse':
      case 'demand':
      case 'saturation':
        return;
      default:
        assertNever(message);
    }
  }

  async function pollEngine(): Promise<void> {
    let isLost = false;
    while (!stopped.signal.aborted) {
      const reply = await callHttp({
        address: engineAddress,
        agent,
        timeoutMs: POLL_TIMEOUT_MS,
        ...codec.reportCall(),
      });
      const decoded =
        reply.kind === 'answered' && reply.status === 200
          ? codec.decodeReport(reply.body)
          : undefined;
      if (decoded?.ok === true) {
        if (isLost) log.info('engine.regained');
        isLost = false;
        noteReport(decoded.value);
      } else if (!isLost) {
        isLost = true;
        log.warn('engine.lost', {
          cause: reply.kind === 'answered' ? `${reply.status}` : reply.detail,
          problem: decoded?.problem,
        });
      }
      await sleep(clock, POLL_INTERVAL_MS, stopped.signal);
    }
  }

  function noteReport(told: EngineReport): void {
    const next = {...told, startedAtMs: readStart(told)};
    if (engine.isNewerThan(next)) return;
    if (next.startedAtMs !== engine.startedAtMs) noteRestart(next.startedAtMs);
    report = next;
    metrics.noteReport(next);
    engine.noteReport(next);
    broadcastReport(next);
  }

  /** Start of the engine; undefined, with one line, if it tells one that is far ahead. */
  function readStart({startedAtMs: toldMs}: EngineReport): number | undefined {
    const startedAtMs = plausibleStartMs(toldMs, clock.wallMs());
    const ignoredMs = startedAtMs === toldMs ? undefined : toldMs;
    if (ignoredMs !== undefined && ignoredMs !== ignoredStartMs) {
      log.warn('engine.startIgnored', {startedAtMs: ignoredMs});
    }
    ignoredStartMs = ignoredMs;
    return startedAtMs;
  }

  /** Replaces the state of the former incarnation; keeps only the runs sent to the new one. */
  function noteRestart(startedAtMs: number | undefined): void {
    engine.end();
    engine = new EngineIncarnation(startedAtMs, incarnationOptions);
    for (const [requestId, run] of runs) {
      if (run.startedAtMs !== startedAtMs) runs.delete(requestId);
    }
    log.info('engine.started', {startedAtMs, owned: runs.size});
  }

  function broadcastReport(next: EngineReport): void {
    const message = commitments.load(next);
    if (!pacer.shouldSend(message)) return;
    pacer.noteSent(message);
    mesh.broadcast(message);
  }

  /** Finds entries in the store when no link is open; otherwise entries announce each other. */
  async function lookUpEntries(): Promise<void> {
    while (!stopped.signal.aborted) {
      await sleep(clock, LOOKUP_INTERVAL_MS, stopped.signal);
      if (linkCount > 0) continue;
      const reply = await listAllPages(
        {store, clock, log},
        codec.memberPrefix,
        readMember,
      );
      if (reply.kind !== 'ok') continue;
      const {kept: members} = reply.value;
      for (const {address} of entriesForSidecar(settings.zone, members)) {
        entryLinks.dial(address);
      }
    }
  }

  function readMember(item: StoreItem): Member | undefined {
    const member = parseMember(item, codec.memberPrefix);
    if (member === undefined) {
      const {key, revision} = item;
      log.warn('member.refused', {key, revision});
    }
    return member;
  }

  return {
    state: () => ({links: linkCount, ownedRuns: runs.size}),
    stop(): void {
      stopped.abort();
      engine.end();
      mesh.stop();
      linkServer.close();
      metricsServer.close();
    },
  };
}
