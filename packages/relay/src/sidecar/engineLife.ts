import {EnginePace} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';
import {LinkGrants} from '../evacuation/linkGrants.js';
import type {OwnedRun} from '../evacuation/linkGrants.js';
import type {DecisionLogger} from '../log/boundedLog.js';
import type {EngineReport} from '../model/index.js';
import type {SidecarMetrics} from '../sidecarMetrics.js';
import type {Switches} from '../switches.js';
import {IncomingCopies} from './incomingCopies.js';
import {ReportedPace} from './reportedPace.js';

/** What the lives of one engine have in common. */
export interface EngineLifeSources {
  readonly clock: Clock;
  readonly log: DecisionLogger;
  readonly metrics: SidecarMetrics;
  readonly switches: Switches;
  /** The runs that entries told of, by request. */
  readonly runs: Map<string, OwnedRun>;
  /** The engine's newest report. */
  report(): EngineReport | undefined;
}

/** What a sidecar believes of one life of its engine; ends with it. */
export class EngineLife {
  readonly copies: IncomingCopies;
  private readonly reportedPace: ReportedPace;
  private readonly grants: LinkGrants;
  private readonly ended = new AbortController();
  private isEvacuating = false;

  constructor(
    readonly startedAtMs: number | undefined,
    private readonly sources: EngineLifeSources,
  ) {
    this.copies = new IncomingCopies(sources.clock, () => sources.report());
    const pace = new EnginePace(sources.switches.learnedPace);
    this.reportedPace = new ReportedPace(pace);
    this.grants = new LinkGrants({...sources, pace});
  }

  /** True when a report is of a life that began before this one. */
  isAfter({startedAtMs}: EngineReport): boolean {
    const ownMs = this.startedAtMs;
    if (startedAtMs === undefined || ownMs === undefined) return false;
    return startedAtMs < ownMs;
  }

  /** Takes a report of this life; begins to hand out grants when it leaves. */
  note({runs, leavesInMs}: EngineReport): void {
    const {clock, switches} = this.sources;
    this.reportedPace.note(runs, clock.nowMs());
    if (leavesInMs === undefined) {
      // Another engine at the address, where engines do not tell their start.
      this.isEvacuating = false;
    } else if (!this.isEvacuating && switches.runMoves) {
      this.isEvacuating = true;
      void this.grants.run(clock.nowMs() + leavesInMs, this.ended.signal);
    }
  }

  /** The owner of a grant is done with the engine's link. */
  noteMoved(requestId: string, isMoved: boolean): void {
    this.grants.noteDone(requestId, isMoved);
  }

  /** The engine has started again, or the sidecar stops. */
  end(): void {
    this.ended.abort();
  }
}
