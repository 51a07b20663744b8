import {mostAtRisk} from '@lilacledge/policy';
import type {EnginePace, RunOutlook} from '@lilacledge/policy';
import {sleep} from '@lilacledge/shared';
import type {Clock} from '@lilacledge/shared';
import type {Logger} from '../log/boundedLog.js';
import type {EngineReport} from '../model/index.js';
import type {Peer} from '../peers/peerMesh.js';
import type {SidecarMetrics} from '../sidecarMetrics.js';
import {MoveReason} from './moveReason.js';

/** The link passes to the next run if the owner has not replied by then. */
export const GRANT_TIMEOUT_MS = 1_200;

/** Delay before a run that was not moved may be granted the link again. */
const REGRANT_DELAY_MS = 150;

/** Interval of checks for new runs while no run is waiting for a grant. */
const POLL_INTERVAL_MS = 60;

/** A run at the engine and the entry that relays its stream. */
export interface OwnedRun {
  readonly owner: Peer;
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  /** Priority at the engine, 0 first; undefined for the engine's default. */
  readonly enginePriority?: number;
  /** Unix time of the engine's start, as known to the owner. */
  readonly startedAtMs?: number;
}

/** Dependencies of the `LinkGrants` of one sidecar. */
export interface GrantSources {
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: SidecarMetrics;
  /** Runs that entries have reported, by request id. */
  readonly runs: ReadonlyMap<string, OwnedRun>;
  /** Measured speed of the engine. */
  readonly pace: EnginePace;
  /** The engine's newest report. */
  report(): EngineReport | undefined;
}

/** Grants a leaving engine's network link to its runs, one at a time. */
export class LinkGrants {
  /** Runs that were moved, and those that wait for `REGRANT_DELAY_MS`. */
  private readonly alreadyGranted = new Set<string>();
  /** The current grant. */
  private open:
    {requestId: string; finish: (isMoved: boolean) => void} | undefined;

  constructor(private readonly sources: GrantSources) {}

  /** Called when the owner of the run has finished using the link. */
  finishGrant(requestId: string, isMoved: boolean): void {
    if (this.open?.requestId === requestId) this.open.finish(isMoved);
  }

  /** Grants the link until the engine shuts down. */
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
        await sleep(clock, POLL_INTERVAL_MS, signal);
        continue;
      }
      this.alreadyGranted.add(next.requestId);
      if (await this.grant(next)) continue;
      clock.after(REGRANT_DELAY_MS, () =>
        this.alreadyGranted.delete(next.requestId),
      );
    }
  }

  /** Runs without a grant that both an entry and the engine have reported. */
  private candidates(): RunOutlook[] {
    const outlooks: RunOutlook[] = [];
    for (const row of this.sources.report()?.runs ?? []) {
      const run = this.sources.runs.get(row.requestId);
      if (run === undefined || this.alreadyGranted.has(row.requestId)) continue;
      outlooks.push({
        requestId: row.requestId,
        promptTokens: run.promptTokens,
        expectedOutputTokens: run.expectedOutputTokens,
        producedTokens: Math.max(0, row.memoryTokens - run.promptTokens),
      });
    }
    return outlooks;
  }

  /** Resolves with true if the run was moved, or if the owner did not reply in time. */
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
        metrics.grants.inc({
          reason: MoveReason.LEAVE,
          end: isMoved ? 'moved' : 'notMoved',
        });
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
