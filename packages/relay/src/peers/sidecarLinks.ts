import {sleep} from '@lilacledge/shared';
import type {CancelTimer} from '@lilacledge/shared';
import type {ActiveConfig} from '../config/activeConfig.js';
import type {Endpoint} from '../endpoints/endpoint.js';
import {formatAddress} from '../model/index.js';
import type {EndpointAddress} from '../model/index.js';
import type {RelayContext} from '../requests/relayContext.js';
import type {ActiveRun, RunListener} from '../requests/runRegistry.js';
import {CrossZoneLinks} from './crossZoneLinks.js';
import {hasPartialView} from './linkPlan.js';
import type {Peer, PeerMesh} from './peerMesh.js';
import {readsType} from './peerMessages.js';
import type {PeerMessage} from './peerMessages.js';

/** Timeout for a link to a sidecar of another zone, which opens in 10 ms. */
const LINK_TIMEOUT_MS = 60;
const LINK_POLL_MS = 5;

/** Delay for batching new endpoints before cross-zone links are planned. */
const CROSS_ZONE_PLAN_DELAY_MS = 20;

/** Manages the links of an entry to sidecars, and tells them its runs at their engines. */
export class SidecarLinks implements RunListener {
  /** Sidecars by the address of the endpoint beside them. */
  private readonly sidecars = new Map<string, Peer>();
  /** Links that this entry dials to sidecars of other zones. */
  private readonly crossZoneLinks: CrossZoneLinks;
  private cancelCrossZonePlan: CancelTimer | undefined;

  constructor(
    private readonly context: RelayContext,
    private readonly config: ActiveConfig,
    private readonly mesh: PeerMesh,
    private readonly entryCount: () => number,
  ) {
    const {clock, endpoints} = context;
    this.crossZoneLinks = new CrossZoneLinks(context);
    endpoints.onCandidate(() => {
      this.cancelCrossZonePlan ??= clock.after(CROSS_ZONE_PLAN_DELAY_MS, () => {
        this.cancelCrossZonePlan = undefined;
        this.linkToCrossZoneEngines();
      });
    });
  }

  /** Addresses of the sidecars of other zones that this entry dials. */
  get crossZoneAddresses(): EndpointAddress[] {
    return this.crossZoneLinks.addresses;
  }

  stop(): void {
    this.cancelCrossZonePlan?.();
  }

  has(endpoint: Endpoint): boolean {
    return this.sidecars.has(formatAddress(endpoint.record.address));
  }

  /** The sidecar of an engine; undefined if no link to it is open. */
  sidecarOf(endpoint: Endpoint): Peer | undefined {
    return this.sidecars.get(formatAddress(endpoint.record.address));
  }

  /** Sends a message to the sidecar of an engine; false if no link is open or it can't read it. */
  send(endpoint: Endpoint, message: PeerMessage): boolean {
    const sidecar = this.sidecarOf(endpoint);
    if (sidecar === undefined) return false;
    if (!readsType(sidecar.hello, message.type)) return false;
    sidecar.send(message);
    return true;
  }

  arrived(run: ActiveRun, endpoint: Endpoint): void {
    const {requestId, promptTokens, expectedOutputTokens} = run;
    const {enginePriority} = run;
    const sidecar = this.sidecarOf(endpoint);
    // When the link opens, the sidecar is sent all runs at its engine.
    if (sidecar === undefined) this.dialCrossZoneSidecar(endpoint);
    sidecar?.send({
      type: 'runStarted',
      requestId,
      promptTokens,
      expectedOutputTokens,
      enginePriority,
      startedAtMs: endpoint.record.startedAtMs,
      tellsPace: endpoint.speed.serviceTellsPace ? true : undefined,
    });
  }

  departed(run: ActiveRun, endpoint: Endpoint): void {
    const {requestId} = run;
    this.sidecarOf(endpoint)?.send({type: 'runEnded', requestId});
  }

  /** A link to the sidecar beside the endpoint at this address opened. */
  noteOpened(sidecar: Peer, endpointAddress: string): void {
    this.sidecars.set(endpointAddress, sidecar);
    const endpoint = this.context.endpoints.atAddress(endpointAddress);
    if (endpoint === undefined) return;
    for (const run of this.context.runs.at(endpoint)) {
      this.arrived(run, endpoint);
    }
  }

  noteClosed(sidecar: Peer, endpointAddress: string): void {
    if (this.sidecars.get(endpointAddress) === sidecar) {
      this.sidecars.delete(endpointAddress);
    }
  }

  /** Opens the planned links to sidecars of other zones, and keeps them from idling out. */
  linkToCrossZoneEngines(): void {
    const {switches} = this.context;
    if (!switches.farLinks || !hasPartialView(this.entryCount())) return;
    for (const endpoint of this.crossZoneLinks.plannedEngines(this.config)) {
      this.dialCrossZoneSidecar(endpoint);
    }
  }

  /** Closes the links to sidecars of other zones that are no longer used. */
  dropIdle(): void {
    for (const idle of this.crossZoneLinks.popIdle()) this.mesh.drop(idle);
  }

  /** Resolves with the sidecar of an engine if a link to it is open or opens in time. */
  async connectToSidecar(endpoint: Endpoint): Promise<Peer | undefined> {
    const {clock} = this.context;
    const known = this.sidecarOf(endpoint);
    if (known !== undefined) return known;
    this.dialCrossZoneSidecar(endpoint);
    if (!this.crossZoneLinks.has(endpoint)) return undefined;
    const untilMs = clock.nowMs() + LINK_TIMEOUT_MS;
    while (clock.nowMs() < untilMs) {
      await sleep(clock, LINK_POLL_MS);
      const opened = this.sidecarOf(endpoint);
      if (opened !== undefined) return opened;
    }
    return undefined;
  }

  /** Dials the sidecar of an engine in another zone, or marks the link to it as used. */
  private dialCrossZoneSidecar(endpoint: Endpoint): void {
    if (!hasPartialView(this.entryCount())) return;
    const address = this.crossZoneLinks.acquire(endpoint);
    if (address !== undefined) this.mesh.dial(address);
  }
}
