import type {SpeedReference} from '@lilacledge/policy';
import {EnginePace, EngineSpeed} from '@lilacledge/policy';
import type {Random} from '@lilacledge/shared';
import {EndpointState} from '../../model/index.js';
import type {EngineTraits, ReportedRun} from '../../model/index.js';
import type {ActiveRun} from '../../requests/runRegistry.js';
import {ReportedPace} from '../../sidecar/reportedPace.js';
import {ALL_ON} from '../../switches.js';
import {Endpoint} from '../endpoint.js';

export const TRAITS: EngineTraits = {
  slots: 24,
  memoryTokens: 26_860,
  bytesPerToken: 18_432,
  linkMbps: 2_700,
  canMove: true,
  canBackUp: true,
  tokensPerEvent: 4,
};

/** Times of a fast engine in its usual state. */
const EVENT_GAP_MS = 30;
const PROMPT_TOKENS_PER_MS = 11;

/** How many times as long an event takes while the engine reads a prompt. */
const READING_FACTOR = 1.25;

/** Intervals in which an engine is slow: mean time between them, duration and factor. */
const INTERVAL_EVERY_MS = 4_000;
const INTERVAL_MS = 600;
const INTERVAL_FACTOR = 2.5;

/** A run at a simulated engine. */
export interface SimulatedRun {
  readonly run: ActiveRun;
  /** Events that it will produce. */
  readonly events: number;
  unreadTokens: number;
  /** Share of its next event that is done. */
  progress: number;
}

/** The pace that a fast engine reports; it includes the engine's steady speed. */
const FAST_PACE_PERCENT = 70;

/** An engine with its sidecar, and an entry's view of it. */
export class SimulatedEngine {
  readonly endpoint: Endpoint;
  private runs: SimulatedRun[] = [];
  private slowUntilMs = 0;
  private slowFactor = 1;
  private readonly reportedPace = new ReportedPace(new EnginePace());

  constructor(
    id: string,
    private readonly steadyFactor: number,
    hasSpeeds: boolean,
    reference: SpeedReference,
    private readonly random: Random,
  ) {
    const record = {
      id,
      service: 'drafts',
      address: {host: '10.0.0.1', port: 80},
      zone: 'north',
      slots: TRAITS.slots,
      state: EndpointState.READY,
      warmupLeftMs: 0,
    };
    this.endpoint = new Endpoint(
      record,
      0,
      undefined,
      {...ALL_ON, engineSpeeds: hasSpeeds},
      undefined,
      undefined,
      new EngineSpeed(reference),
    );
  }

  get isSlow(): boolean {
    return this.steadyFactor > 1;
  }

  start(simulated: SimulatedRun): void {
    this.runs.push(simulated);
  }

  /** Makes all work take `factor` times as long until then. */
  slowDown(factor: number, untilMs: number): void {
    this.slowFactor = factor;
    this.slowUntilMs = untilMs;
  }

  /** Advances by one step; calls `onEvent` for each event that a run produces. */
  advance(
    nowMs: number,
    stepMs: number,
    onEvent: (simulated: SimulatedRun) => void,
  ): void {
    const factor = this.factorAt(nowMs, stepMs) * this.steadyFactor;
    const reading = this.runs.find(({unreadTokens}) => unreadTokens > 0);
    if (reading !== undefined) {
      reading.unreadTokens -= (stepMs * PROMPT_TOKENS_PER_MS) / factor;
      // The first event follows the prompt at once.
      if (reading.unreadTokens <= 0) reading.progress = 1;
    }
    const gapMs =
      EVENT_GAP_MS * factor * (reading === undefined ? 1 : READING_FACTOR);
    for (const simulated of this.runs) {
      if (simulated.unreadTokens > 0) continue;
      if (simulated !== reading) simulated.progress += stepMs / gapMs;
      if (simulated.progress < 1) continue;
      simulated.progress -= 1;
      onEvent(simulated);
    }
    this.runs = this.runs.filter(({run, events}) => run.eventsRelayed < events);
  }

  /** Sends the report of the engine's sidecar to the entry. */
  report(nowMs: number): void {
    const rows = this.runs.map(toReportedRun);
    this.reportedPace.noteRuns(rows, nowMs);
    this.endpoint.noteReport(
      {
        queued: 0,
        active: this.runs.length,
        memoryUsedTokens: this.runs.reduce(
          (sum, {run}) => sum + run.memoryTokens,
          0,
        ),
        memoryTokens: TRAITS.memoryTokens,
        promptBacklogTokens: this.runs.reduce(
          (sum, {unreadTokens}) => sum + Math.max(0, unreadTokens),
          0,
        ),
        outputTokenMs: this.reportedPace.outputTokenMs,
      },
      nowMs,
    );
  }

  /** The engine's answer begins, with its present pace. */
  answer(nowMs: number): void {
    const factor = nowMs < this.slowUntilMs ? this.slowFactor : 1;
    this.endpoint.noteLoad(
      {
        running: this.runs.length,
        waiting: 0,
        slots: TRAITS.slots,
        pacePercent: factor * this.steadyFactor * FAST_PACE_PERCENT,
      },
      nowMs,
    );
  }

  private factorAt(nowMs: number, stepMs: number): number {
    if (nowMs < this.slowUntilMs) return this.slowFactor;
    if (this.random() < stepMs / INTERVAL_EVERY_MS) {
      this.slowDown(INTERVAL_FACTOR, nowMs + INTERVAL_MS);
    }
    return 1;
  }
}

function toReportedRun({run}: SimulatedRun): ReportedRun {
  return {
    requestId: run.requestId,
    memoryTokens: run.memoryTokens,
    eventsMade: run.eventsRelayed,
  };
}
