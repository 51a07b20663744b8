import type {Server} from 'node:http';
import type {RetryKind, RetryLoan} from '@lilacledge/policy';
import type {ActiveConfig} from '../config/activeConfig.js';
import type {Endpoint} from '../endpoints/endpoint.js';
import type {MoveResult} from '../evacuation/runMover.js';
import type {EndpointAddress} from '../model/index.js';
import type {RelayContext} from '../requests/relayContext.js';
import type {ActiveRun, RunListener} from '../requests/runRegistry.js';
import {
  broadcastUpdates,
  knownState,
  sendToEntries,
} from './broadcastUpdates.js';
import {PeerConfigFetcher} from './configFetch.js';
import {ConfigUploads} from './configUploads.js';
import {CopyReservations} from './copyReservations.js';
import {DemandGossip} from './demandGossip.js';
import type {MoveGrant} from './engineMessages.js';
import {entryHello} from './entryHello.js';
import {hasPartialView} from './linkPlan.js';
import {LinkPlanner} from './linkPlanner.js';
import {LoadQueries} from './loadQueries.js';
import type {QueriedPrompt} from './loadQueries.js';
import {MembershipNotifier} from './membershipNotifier.js';
import type {Member} from './membership.js';
import {MemberView} from './memberView.js';
import {sendOwnZoneLoads} from './ownZoneLoads.js';
import {PeerMesh} from './peerMesh.js';
import type {Peer} from './peerMesh.js';
import {PeerMessageHandler} from './peerMessageHandler.js';
import {PeerRole, readsType} from './peerMessages.js';
import type {PeerMessage} from './peerMessages.js';
import {PeerSaturation} from './peerSaturation.js';
import {adoptPeerConfig} from './receivedConfig.js';
import {RetryLoans} from './retryLoans.js';
import type {EntryCountNotice} from './retryMessages.js';
import {SidecarLinks} from './sidecarLinks.js';

/** How often the loads of this zone's engines are sent to entries of other zones. */
const ZONE_LOAD_INTERVAL_MS = 400;

/** Manages the links of an entry to other entries and to sidecars. */
export class EntryPeers implements RunListener {
  private readonly mesh: PeerMesh;
  private readonly members: MemberView;
  private readonly membershipNotifier: MembershipNotifier;
  private readonly sidecarLinks: SidecarLinks;
  private readonly linkPlanner: LinkPlanner;
  /** Reservations at engines to which this entry copies runs. */
  readonly copyReservations: CopyReservations;
  private readonly loadQueries: LoadQueries;
  private cancelPeriodicWork: () => void = () => {};
  private readonly configFetcher: PeerConfigFetcher;
  private readonly configUploads: ConfigUploads;
  private readonly demandGossip: DemandGossip;
  private readonly retryLoans: RetryLoans;
  /** Which of the linked entries are saturated. */
  readonly saturation: PeerSaturation;
  private readonly messageHandler: PeerMessageHandler;

  constructor(
    private readonly context: RelayContext,
    private readonly config: ActiveConfig,
    /** Moves a run to which a sidecar granted its engine's link. */
    move: (grant: MoveGrant) => Promise<MoveResult>,
    readonly address: EndpointAddress,
  ) {
    const {settings, clock, random, log} = context;
    this.mesh = new PeerMesh(
      entryHello(context, address),
      {
        opened: (peer) => this.handleOpened(peer),
        message: (peer, message) => this.messageHandler.handle(peer, message),
        closed: (peer) => this.handleClosed(peer),
      },
      clock,
      random,
      log,
      () => settings.settleMs,
    );
    this.members = new MemberView((instance) => this.isLinkedTo(instance));
    this.membershipNotifier = new MembershipNotifier(
      () => this.members.all,
      clock,
      random,
    );
    this.configFetcher = new PeerConfigFetcher({
      clock,
      random,
      log,
      version: () => config.version,
      configApplyMs: () => settings.configApplyMs,
      isStoreAvailable: () =>
        context.endpoints.storeContact.answersForMs !== undefined,
      storeProgressMs: () => config.storeProgressMs,
      received: (peer, bytes) => adoptPeerConfig(config, log, peer, bytes),
    });
    this.configUploads = new ConfigUploads(config, clock);
    this.sidecarLinks = new SidecarLinks(
      context,
      config,
      this.mesh,
      () => this.entryCount,
    );
    this.linkPlanner = new LinkPlanner(
      context,
      this.mesh,
      this.members,
      () => this.sidecarLinks.crossZoneAddresses,
      () => sendToEntries(this.mesh.peers, this.entryCountNotice),
    );
    this.loadQueries = new LoadQueries(
      (endpoint) => this.sidecarLinks.sidecarOf(endpoint),
      clock,
    );
    this.copyReservations = new CopyReservations(
      (endpoint) => this.sidecarLinks.connectToSidecar(endpoint),
      clock,
    );
    broadcastUpdates(context, config, (update) =>
      sendToEntries(this.mesh.peers, update),
    );
    this.demandGossip = new DemandGossip(
      clock,
      context.demands,
      () => this.mesh.peers,
    );
    this.retryLoans = new RetryLoans(
      clock,
      random,
      context.retryBudgets,
      () => this.mesh.peers,
    );
    this.saturation = new PeerSaturation(
      clock,
      settings.zone,
      () => this.mesh.peers,
      () => this.members.all.map(({zone}) => zone),
    );
    this.messageHandler = new PeerMessageHandler(context, config, {
      configFetcher: this.configFetcher,
      configUploads: this.configUploads,
      loadQueries: this.loadQueries,
      copyReservations: this.copyReservations,
      demandGossip: this.demandGossip,
      retryLoans: this.retryLoans,
      saturation: this.saturation,
      move,
    });
  }

  /** When a copy of a newer configuration from a peer last progressed; undefined if none does. */
  get configProgressMs(): number | undefined {
    return this.configFetcher.progressMs;
  }

  /** Number of entries in the fleet, including this one. */
  get entryCount(): number {
    return Math.max(1, this.members.size);
  }

  /** Names of the entries in the fleet. */
  get entryNames(): string[] {
    return this.members.all.map(({instance}) => instance);
  }

  /** Starts to dial; returns the server that accepts links once it listens. */
  start(): Server {
    for (const seed of this.context.settings.seeds) this.mesh.dial(seed);
    this.schedulePeriodicWork();
    return this.mesh.createServer();
  }

  stop(): void {
    this.cancelPeriodicWork();
    this.linkPlanner.stop();
    this.sidecarLinks.stop();
    this.membershipNotifier.stop();
    this.configFetcher.stop();
    this.demandGossip.stop();
    this.mesh.stop();
  }

  /** Queries engines for their current loads; they count the prompt from then on. */
  queryLoads(
    endpoints: readonly Endpoint[],
    prompt: QueriedPrompt,
  ): Promise<void> {
    return this.loadQueries.query(endpoints, prompt);
  }

  /** Releases the prompt at queried engines to which it is not sent. */
  releaseLoads(endpoints: readonly Endpoint[], prompt: QueriedPrompt): void {
    this.loadQueries.release(endpoints, prompt);
  }

  /** Asks linked entries for a retry out of their shares of the budget. */
  borrowRetry(
    service: string,
    kind: RetryKind,
  ): Promise<RetryLoan | undefined> {
    return this.retryLoans.borrow(service, kind);
  }

  hasSidecar(endpoint: Endpoint): boolean {
    return this.sidecarLinks.has(endpoint);
  }

  /** Sends a message to the sidecar of an engine; false if no link is open or it can't read it. */
  sendToSidecar(endpoint: Endpoint, message: PeerMessage): boolean {
    return this.sidecarLinks.send(endpoint, message);
  }

  /** An entry registered itself in the store. */
  noteMemberRegistered(member: Member): void {
    if (this.members.noteRegistered(member)) this.handleFleetChange();
  }

  noteMemberExpired(instance: string): void {
    if (this.members.noteExpired(instance)) this.handleFleetChange();
  }

  private handleFleetChange(): void {
    this.context.retryBudgets.noteEntryCount();
    this.membershipNotifier.changed();
    this.linkPlanner.schedule();
  }

  private get entryCountNotice(): EntryCountNotice {
    return {type: 'entryCount', entryCount: this.entryCount};
  }

  /**
   * True for this entry itself too, so that it stays a member if its registration
   * expires.
   */
  private isLinkedTo(instance: string): boolean {
    if (instance === this.context.settings.instanceName) return true;
    for (const {hello} of this.mesh.peers) {
      if (hello.instance === instance) return true;
    }
    return false;
  }

  arrived(run: ActiveRun, endpoint: Endpoint): void {
    this.sidecarLinks.arrived(run, endpoint);
  }

  departed(run: ActiveRun, endpoint: Endpoint): void {
    this.sidecarLinks.departed(run, endpoint);
  }

  private handleOpened(peer: Peer): void {
    const {hello} = peer;
    if (hello.role === PeerRole.ENTRY) {
      const known = knownState(this.context, this.config);
      for (const item of [this.entryCountNotice, ...known]) {
        if (readsType(hello, item.type)) peer.send(item);
      }
      return;
    }
    if (hello.endpointAddress === undefined) return;
    this.membershipNotifier.opened(peer);
    this.sidecarLinks.noteOpened(peer, hello.endpointAddress);
  }

  private handleClosed(peer: Peer): void {
    const {endpointAddress, instance} = peer.hello;
    this.configFetcher.notePeerClosed(peer);
    this.configUploads.notePeerClosed(peer);
    if (endpointAddress === undefined) {
      this.saturation.noteClosed(peer);
      const {retryBudgets} = this.context;
      if (!this.isLinkedTo(instance)) retryBudgets.notePeerLost(instance);
      if (this.members.noteLinkClosed(instance)) this.handleFleetChange();
      return;
    }
    this.membershipNotifier.closed(peer);
    this.sidecarLinks.noteClosed(peer, endpointAddress);
  }

  private schedulePeriodicWork(): void {
    this.cancelPeriodicWork = this.context.clock.after(
      ZONE_LOAD_INTERVAL_MS,
      () => {
        this.context.retryBudgets.noteEntryCount();
        this.sendZoneLoads();
        this.sidecarLinks.linkToCrossZoneEngines();
        this.sidecarLinks.dropIdle();
        this.schedulePeriodicWork();
      },
    );
  }

  /** Sends the loads of this zone's engines to entries of other zones. */
  private sendZoneLoads(): void {
    const {switches} = this.context;
    if (!switches.zoneLoads || !hasPartialView(this.entryCount)) return;
    sendOwnZoneLoads(this.context, this.mesh.peers);
  }
}
