import {assertNever} from '@lilacledge/shared';
import type {ActiveConfig} from '../config/activeConfig.js';
import {LeaveSource} from '../endpoints/endpoint.js';
import type {MoveResult} from '../evacuation/runMover.js';
import type {RelayContext} from '../requests/relayContext.js';
import type {PeerConfigFetcher} from './configFetch.js';
import type {ConfigUploads} from './configUploads.js';
import type {CopyReservations} from './copyReservations.js';
import type {DemandGossip} from './demandGossip.js';
import type {EngineLoadReport, MoveGrant} from './engineMessages.js';
import type {LoadQueries} from './loadQueries.js';
import type {Peer} from './peerMesh.js';
import {PeerRole} from './peerMessages.js';
import type {PeerMessage} from './peerMessages.js';
import type {PeerSaturation} from './peerSaturation.js';
import {adoptPeerConfig} from './receivedConfig.js';
import {applyUpdate} from './receivedUpdates.js';
import type {RetryLoans} from './retryLoans.js';

/** Parts of an entry to which messages are passed on. */
export interface MessageReceivers {
  readonly configFetcher: PeerConfigFetcher;
  readonly configUploads: ConfigUploads;
  readonly loadQueries: LoadQueries;
  readonly copyReservations: CopyReservations;
  readonly demandGossip: DemandGossip;
  readonly retryLoans: RetryLoans;
  readonly saturation: PeerSaturation;
  /** Moves a run to which a sidecar granted its engine's link. */
  readonly move: (grant: MoveGrant) => Promise<MoveResult>;
}

/** Handles the messages that an entry gets from other entries and from sidecars. */
export class PeerMessageHandler {
  constructor(
    private readonly context: RelayContext,
    private readonly config: ActiveConfig,
    private readonly receivers: MessageReceivers,
  ) {}

  handle(peer: Peer, message: PeerMessage): void {
    const {retryBudgets} = this.context;
    if (peer.hello.role === PeerRole.ENTRY) retryBudgets.notePeerAlive();
    switch (message.type) {
      case 'configNotice':
        this.config.announcements.note(message.version);
        this.receivers.configFetcher.noteOffer(peer, message.version);
        return;
      case 'configRequest': {
        const bytes = this.config.encodedConfig;
        if (bytes !== undefined) peer.send({type: 'configBody', bytes});
        return;
      }
      case 'configBody':
        adoptPeerConfig(
          this.config,
          this.context.log,
          peer,
          Buffer.from(message.bytes),
        );
        return;
      case 'configPartRequest':
        this.receivers.configUploads.send(peer, message);
        return;
      case 'configPart':
        this.receivers.configFetcher.receivePart(peer, message);
        return;
      case 'engineLoad':
        this.handleEngineLoad(peer, message);
        return;
      case 'moveGrant':
        void this.moveRun(peer, message);
        return;
      case 'endpointDoubted':
      case 'endpointLimit':
      case 'zoneStatus':
      case 'suspicion':
      case 'longSuspicion':
      case 'zoneLoad':
        applyUpdate(this.context, peer, message);
        return;
      case 'demand':
        this.receivers.demandGossip.receive(peer, message);
        return;
      case 'saturation':
        this.receivers.saturation.receive(peer, message);
        return;
      case 'entryCount':
        retryBudgets.notePeerEntryCount(
          peer.hello.instance,
          message.entryCount,
        );
        return;
      case 'retryLoanAsk':
        this.receivers.retryLoans.answerAsk(peer, message);
        return;
      case 'retryLoanAnswer':
        this.receivers.retryLoans.noteAnswer(peer, message);
        return;
      case 'retryLoanSettled':
        this.receivers.retryLoans.noteSettled(peer, message);
        return;
      case 'copyAnswer':
        this.receivers.copyReservations.noteAnswer(
          message.requestId,
          message.isFree,
        );
        return;
      case 'members':
      case 'hello':
      case 'alive':
      case 'loadAsk':
      case 'loadRelease':
      case 'runStarted':
      case 'runEnded':
      case 'moveAsk':
      case 'moveDone':
      case 'copyAsk':
      case 'copyDone':
      case 'retryUse':
      case 'formerRetryUse':
        return;
      default:
        assertNever(message);
    }
  }

  private handleEngineLoad(peer: Peer, report: EngineLoadReport): void {
    const {endpoints, clock} = this.context;
    const {endpointAddress} = peer.hello;
    if (endpointAddress === undefined) return;
    const endpoint = endpoints.atAddress(endpointAddress);
    if (endpoint === undefined) return;
    if (!endpoints.noteReportedStart(endpoint, report.startedAtMs)) return;
    endpoint.noteReport(report, clock.nowMs());
    this.receivers.loadQueries.noteLoad(endpoint);
    this.context.admissionOf(endpoint.record.service).recheck();
    if (report.leavesInMs === undefined) return;
    endpoints.noteLeaving(endpoint, LeaveSource.REPORT, report.leavesInMs);
  }

  private async moveRun(peer: Peer, grant: MoveGrant): Promise<void> {
    const {requestId} = grant;
    const end = await this.receivers.move(grant);
    const isMoved = end.kind === 'moved';
    peer.send({type: 'moveDone', requestId, isMoved});
  }
}
