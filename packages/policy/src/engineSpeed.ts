import {paceWeight, USUAL_PERCENT} from './presentPace.js';
import type {ReportedPacePercent} from './presentPace.js';
import {SlowMedian} from './slowMedian.js';

/** Bounds of a slowness: beyond them, a measurement is taken to be wrong. */
const MIN_SLOWNESS = 0.1;
const MAX_SLOWNESS = 20;

/** Greatest pace that is counted, in percent. */
const MAX_PACE_PERCENT = 10_000;

/**
 * An engine counts as faster or slower once it differs from the reference by more than the
 * second share, and as equally fast again within the first. Between them it stays what it was,
 * so that noise does not concentrate work on a few of several equal engines.
 */
const EQUAL_SHARE = 0.1;
const DISTINCT_SHARE = 0.15;

/** What is usual for the engines of one service, by their own reports. */
export class SpeedReference {
  private readonly outputTokenTimes = new SlowMedian<EngineSpeed>();
  private readonly paces = new SlowMedian<EngineSpeed>(USUAL_PERCENT);

  /** Usual time per output token; undefined while no engine has reported one. */
  get outputTokenMs(): number | undefined {
    return this.outputTokenTimes.value;
  }

  /**
   * Usual pace in answers. Engines that are always faster or slower than others report it in
   * their pace: with 70 and 170 percent on a service, 70 is usual if most engines have it.
   */
  get pacePercent(): number {
    return this.paces.value ?? USUAL_PERCENT;
  }

  /** True once an endpoint of the service has reported its pace in an answer. */
  get hasToldPace(): boolean {
    return this.paces.size > 0;
  }

  /** Records the pace that an endpoint of the service reported in an answer. */
  noteTold(engine: EngineSpeed, pacePercent: number, nowMs: number): void {
    this.paces.note(engine, pacePercent, nowMs);
  }

  /** Adds the latest time per output token of an engine; replaces its former one. */
  note(engine: EngineSpeed, outputTokenMs: number, nowMs: number): void {
    this.outputTokenTimes.note(engine, outputTokenMs, nowMs);
  }
}

/** The speed of an engine as its sidecar learned it. */
export interface ReportedSpeed {
  /** Low quantile of the time per output token; undefined if it is not known. */
  readonly outputTokenMs?: number;
}

/**
 * Speed of one incarnation of an endpoint, relative to the others of its service. Keeps
 * apart the steady speed of the engine, which its sidecar learns, and its present pace,
 * which the endpoint reports in its answers and which loses its weight within a second.
 *
 * Prevents long generations at engines that are too slow for them: with one speed for
 * each service, engines that need several times as long get the same work, and their
 * pauses miss the goal whenever they slow down for a moment.
 */
export class EngineSpeed {
  private outputTokenMs: number | undefined;
  private told: ReportedPacePercent | undefined;
  private isDistinct = false;

  constructor(private readonly reference = new SpeedReference()) {}

  /** True if the steady speed of this engine is known. */
  get isKnown(): boolean {
    return this.outputTokenMs !== undefined;
  }

  /** True once this endpoint has reported a pace in an answer. */
  get hasToldPace(): boolean {
    return this.told !== undefined;
  }

  /** True once an endpoint of its service has, so that speeds count for the service. */
  get serviceTellsPace(): boolean {
    return this.reference.hasToldPace;
  }

  /**
   * Records the pace that the endpoint reported in an answer: how long work takes there
   * now, where 100 is usual. Ignores values that are not positive.
   */
  noteTold(pacePercent: number | undefined, nowMs: number): void {
    if (pacePercent === undefined || !(pacePercent > 0)) return;
    const percent = Math.min(MAX_PACE_PERCENT, pacePercent);
    this.told = {pacePercent: percent, atMs: nowMs};
    this.reference.noteTold(this, percent, nowMs);
  }

  /** Records the speed in a report of the engine's sidecar; the last report counts. */
  noteReported({outputTokenMs}: ReportedSpeed, nowMs: number): void {
    if (outputTokenMs === undefined) return;
    if (!(outputTokenMs > 0) || !Number.isFinite(outputTokenMs)) return;
    this.outputTokenMs = outputTokenMs;
    this.reference.note(this, outputTokenMs, nowMs);
    const {ratio} = this;
    const deviation = Math.max(ratio, 1 / ratio) - 1;
    const bound = this.isDistinct ? EQUAL_SHARE : DISTINCT_SHARE;
    this.isDistinct = deviation > bound;
  }

  /**
   * How many times as long work usually takes at this engine as at a usual engine of the
   * service; 1 if that is not known or the difference is small.
   */
  get steadySlowness(): number {
    return this.isDistinct ? bounded(this.ratio) : 1;
  }

  /**
   * How many times as long work takes at this engine now; 1 if nothing is known. A reported
   * pace includes the steady speed of its engine, so it takes the place of the steady
   * slowness and does not multiply it.
   */
  slowness(nowMs: number): number {
    const {told, steadySlowness, reference} = this;
    if (told === undefined) return steadySlowness;
    const toldSlowness = told.pacePercent / reference.pacePercent;
    const weight = paceWeight(told, nowMs);
    return bounded(steadySlowness + weight * (toldSlowness - steadySlowness));
  }

  private get ratio(): number {
    const usualMs = this.reference.outputTokenMs;
    if (this.outputTokenMs === undefined || usualMs === undefined) return 1;
    return this.outputTokenMs / usualMs;
  }
}

function bounded(slowness: number): number {
  return Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, slowness));
}
