import type {Clock} from '@lilacledge/shared';
import type {Logger} from '../log/boundedLog.js';
import type {Peer} from '../peers/peerMesh.js';
import type {SidecarMetrics} from '../sidecarMetrics.js';
import {GRANT_TIMEOUT_MS} from './linkGrants.js';
import type {OwnedRun} from './linkGrants.js';
import {MoveReason} from './moveReason.js';

/** An ask that was not granted by then is dropped: its gain is a forecast from that time. */
export const ASK_TTL_MS = 1_000;

/** An entry's request to move a run to an engine that suits it better. */
interface MoveRequest {
  readonly owner: Peer;
  readonly requestId: string;
  readonly gain: number;
  readonly atMs: number;
}

/** The run that uses the engine's link now. */
interface OpenGrant {
  readonly request: MoveRequest;
  finish(end: string): void;
}

/** Dependencies of the `BalanceGrants` of one sidecar. */
export interface BalanceGrantSources {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: SidecarMetrics;
  /** Runs that entries have reported, by request id. */
  readonly runs: ReadonlyMap<string, OwnedRun>;
}

/**
 * Grants the network link of an engine that stays to runs which entries ask to move, one at
 * a time, highest gain first. Several copies at once would slow each other down.
 */
export class BalanceGrants {
  private readonly requests = new Map<string, MoveRequest>();
  private open: OpenGrant | undefined;

  constructor(private readonly sources: BalanceGrantSources) {}

  /** Applies an entry's ask; a newer one for the same run replaces it. */
  ask(owner: Peer, requestId: string, gain: number): void {
    const atMs = this.sources.clock.nowMs();
    this.requests.set(requestId, {owner, requestId, gain, atMs});
    this.grantNext();
  }

  /** Called when the owner of the run has finished using the link. */
  finishGrant(requestId: string, isMoved: boolean): void {
    if (this.open?.request.requestId !== requestId) return;
    this.open.finish(isMoved ? 'moved' : 'notMoved');
  }

  /** Drops the asks of an entry whose link closed, and its grant. */
  dropOwner(owner: Peer): void {
    for (const [requestId, request] of this.requests) {
      if (request.owner === owner) this.requests.delete(requestId);
    }
    if (this.open?.request.owner === owner) this.open.finish('ownerLost');
  }

  /** Ends the grant and drops all asks: the engine leaves, restarted, or the sidecar stops. */
  end(): void {
    this.requests.clear();
    this.open?.finish('ended');
  }

  private grantNext(): void {
    if (this.open !== undefined) return;
    const next = this.takeBest();
    if (next !== undefined) this.grant(next);
  }

  /** Removes and returns the request with the highest gain, and removes those that expired. */
  private takeBest(): MoveRequest | undefined {
    const oldestMs = this.sources.clock.nowMs() - ASK_TTL_MS;
    let best: MoveRequest | undefined;
    for (const [requestId, request] of this.requests) {
      const isOwned = this.sources.runs.get(requestId)?.owner === request.owner;
      if (!isOwned || request.atMs <= oldestMs) this.requests.delete(requestId);
      else if (best === undefined || request.gain > best.gain) best = request;
    }
    if (best !== undefined) this.requests.delete(best.requestId);
    return best;
  }

  private grant(request: MoveRequest): void {
    const {clock, log, metrics} = this.sources;
    const {owner, requestId, gain} = request;
    const startMs = clock.nowMs();
    const finish = (end: string): void => {
      cancel();
      this.open = undefined;
      metrics.grants.inc({reason: MoveReason.BALANCE, end});
      log.info('balance.granted', {
        request: requestId,
        owner: owner.hello.instance,
        gain: Number(gain.toFixed(3)),
        end,
        tookMs: Math.round(clock.nowMs() - startMs),
      });
      this.grantNext();
    };
    const cancel = clock.after(GRANT_TIMEOUT_MS, () => finish('noReply'));
    this.open = {request, finish};
    owner.send({type: 'moveGrant', requestId, isForBalance: true});
  }
}
