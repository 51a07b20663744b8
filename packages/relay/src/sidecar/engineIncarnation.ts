import {EnginePace} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';
import {BalanceGrants} from '../evacuation/balanceGrants.js';
import {LinkGrants} from '../evacuation/linkGrants.js';
import type {OwnedRun} from '../evacuation/linkGrants.js';
import type {Logger} from '../log/boundedLog.js';
import type {EngineReport} from '../model/index.js';
import type {MoveAsk} from '../peers/engineMessages.js';
import type {Peer} from '../peers/peerMesh.js';
import type {SidecarMetrics} from '../sidecarMetrics.js';
import type {Switches} from '../switches.js';
import {IncomingCopies} from './incomingCopies.js';
import {ReportedPace} from './reportedPace.js';

/** What all incarnations of one engine share. */
export interface EngineIncarnationOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: SidecarMetrics;
  readonly switches: Switches;
  /** Runs that entries reported, by request id. */
  readonly runs: Map<string, OwnedRun>;
  /** Returns the engine's latest report. */
  report(): EngineReport | undefined;
}

/** A sidecar's state for one incarnation of its engine; replaced when the engine restarts. */
export class EngineIncarnation {
  readonly copies: IncomingCopies;
  private readonly reportedPace: ReportedPace;
  private readonly grants: LinkGrants;
  private readonly balance: BalanceGrants;
  private readonly ended = new AbortController();
  private isEvacuating = false;
  private tellsPace = false;

  constructor(
    readonly startedAtMs: number | undefined,
    private readonly options: EngineIncarnationOptions,
  ) {
    this.copies = new IncomingCopies(options.clock, () => options.report());
    const pace = new EnginePace(options.switches.learnedPace);
    this.reportedPace = new ReportedPace(pace);
    this.grants = new LinkGrants({...options, pace});
    this.balance = new BalanceGrants(options);
  }

  /** True when the report comes from an incarnation that started before this one. */
  isNewerThan({startedAtMs}: EngineReport): boolean {
    const ownMs = this.startedAtMs;
    if (startedAtMs === undefined || ownMs === undefined) return false;
    return startedAtMs < ownMs;
  }

  /** An entry has seen that engines of the service report their pace, so that it uses speeds. */
  noteTellsPace(): void {
    this.tellsPace = this.options.switches.engineSpeeds;
  }

  /** Steady time per output token; undefined until it is known and entries use it. */
  get outputTokenMs(): number | undefined {
    return this.tellsPace ? this.reportedPace.outputTokenMs : undefined;
  }

  /** Applies a report of this incarnation; starts to grant run moves once the engine leaves. */
  noteReport({runs, leavesInMs}: EngineReport): void {
    const {clock, switches} = this.options;
    this.reportedPace.noteRuns(runs, clock.nowMs());
    // While the engine leaves, only the grants of the evacuation use its link.
    if (leavesInMs !== undefined) this.balance.end();
    if (leavesInMs === undefined) {
      // Where engines do not report their start time, this is a new engine at the address.
      this.isEvacuating = false;
    } else if (!this.isEvacuating && switches.runMoves) {
      this.isEvacuating = true;
      void this.grants.run(clock.nowMs() + leavesInMs, this.ended.signal);
    }
  }

  /** Applies an entry's ask to move a run to another engine although this one stays. */
  askMove(owner: Peer, {requestId, gain}: MoveAsk): void {
    const {switches} = this.options;
    const report = this.options.report();
    const isStaying = report !== undefined && report.leavesInMs === undefined;
    if (!switches.balanceMoves || !isStaying || this.ended.signal.aborted) {
      return;
    }
    this.balance.ask(owner, requestId, gain);
  }

  /** Drops the asks of an entry whose link closed. */
  noteEntryLost(owner: Peer): void {
    this.balance.dropOwner(owner);
  }

  /** Frees the engine's link after the owning entry has finished a granted move. */
  finishMove(requestId: string, isMoved: boolean): void {
    this.grants.finishGrant(requestId, isMoved);
    this.balance.finishGrant(requestId, isMoved);
  }

  /** Stops granting moves, as the engine restarted or the sidecar stops. */
  end(): void {
    this.ended.abort();
    this.balance.end();
  }
}
