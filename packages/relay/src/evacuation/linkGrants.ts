import {mostAtRisk} from '@lilacledge/policy';
import type {EnginePace, RunOutlook} from '@lilacledge/policy';
import {sleep} from '@lilacledge/shared';
import type {Clock} from '@lilacledge/shared';
import type {DecisionLogger} from '../log/boundedLog.js';
import type {EngineReport} from '../model/index.js';
import type {Peer} from '../peers/peerMesh.js';
import type {SidecarMetrics} from '../sidecarMetrics.js';

/** A grant that was not answered by then is given to the next run. */
const GRANT_TIMEOUT_MS = 1_200;

/** A run that found no room is granted the link again after this time. */
const REGRANT_MS = 150;

/** Pause before the runs are looked at again when all were granted. */
const IDLE_MS = 60;

/** A run at the engine and the entry that carries its stream. */
export interface OwnedRun {
  readonly owner: Peer;
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  /** Unix time of the engine's start, as the owner knows it. */
  readonly startedAtMs?: number;
}

/** What the grants of one sidecar are decided from. */
export interface GrantSources {
  readonly clock: Clock;
  readonly log: DecisionLogger;
  readonly metrics: SidecarMetrics;
  /** The runs that entries told of, by request. */
  readonly runs: ReadonlyMap<string, OwnedRun>;
  /** How fast the engine works. */
  readonly pace: EnginePace;
  /** The engine's newest report. */
  report(): EngineReport | undefined;
}

/** Grants a leaving engine's link to one run after the other. */
export class LinkGrants {
  /** Runs that were moved, and those that are tried again later. */
  private readonly granted = new Set<string>();
  private open:
    {requestId: string; finish: (isMoved: boolean) => void} | undefined;

  constructor(private readonly sources: GrantSources) {}

  /** The owner of a grant is done with the link. */
  noteDone(requestId: string, isMoved: boolean): void {
    if (this.open?.requestId === requestId) this.open.finish(isMoved);
  }

  /** Hands the link out until the engine is gone. */
  async run(leavesAtMs: number, signal: AbortSignal): Promise<void> {
    const {clock, log, pace, runs} = this.sources;
    log.info('evacuation.begun', {
      runs: this.sources.report()?.runs.length,
      owned: runs.size,
      leavesInMs: Math.round(leavesAtMs - clock.nowMs()),
    });
    while (!signal.aborted && clock.nowMs() < leavesAtMs) {
      const next = mostAtRisk(
        this.candidates(),
        leavesAtMs - clock.nowMs(),
        pace.outputMs(1),
      );
      if (next === undefined) {
        await sleep(clock, IDLE_MS, signal);
        continue;
      }
      this.granted.add(next.requestId);
      if (await this.grant(next)) continue;
      clock.after(REGRANT_MS, () => this.granted.delete(next.requestId));
    }
  }

  /** Runs that entries told of, with what the engine says of them. */
  private candidates(): RunOutlook[] {
    const outlooks: RunOutlook[] = [];
    for (const row of this.sources.report()?.runs ?? []) {
      const run = this.sources.runs.get(row.requestId);
      if (run === undefined || this.granted.has(row.requestId)) continue;
      outlooks.push({
        requestId: row.requestId,
        promptTokens: run.promptTokens,
        expectedOutputTokens: run.expectedOutputTokens,
        producedTokens: Math.max(0, row.memoryTokens - run.promptTokens),
      });
    }
    return outlooks;
  }

  /** Resolves with true when the run was moved, or may have been. */
  private grant(outlook: RunOutlook): Promise<boolean> {
    const {clock, log, metrics, runs} = this.sources;
    const {requestId} = outlook;
    const run = runs.get(requestId);
    if (run === undefined) return Promise.resolve(false);
    const startMs = clock.nowMs();
    return new Promise((resolve) => {
      const finish = (isMoved: boolean): void => {
        cancel();
        this.open = undefined;
        metrics.grants.inc({end: isMoved ? 'moved' : 'notMoved'});
        log.info('evacuation.granted', {
          request: requestId,
          owner: run.owner.hello.instance,
          producedTokens: outlook.producedTokens,
          expectedOutputTokens: outlook.expectedOutputTokens,
          isMoved,
          tookMs: Math.round(clock.nowMs() - startMs),
        });
        resolve(isMoved);
      };
      const cancel = clock.after(GRANT_TIMEOUT_MS, () => finish(true));
      this.open = {requestId, finish};
      run.owner.send({type: 'moveGrant', requestId});
    });
  }
}
