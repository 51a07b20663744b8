import type {
  EngineForecasts,
  EnginePace,
  EngineSpeed,
  PauseRisk,
} from '@lilacledge/policy';

/** What the times at one engine are derived from. */
export interface EngineTimesSources {
  /** Pace of a usual engine of the service. */
  readonly pace: EnginePace;
  /** Speed of this engine, relative to a usual one. */
  readonly speed: EngineSpeed;
  readonly nowMs: number;
  readonly tokensPerEvent: number;
}

/** The events that a run is expected to produce, and the pause that its caller accepts. */
export interface EventOutlook {
  /** Distribution of the gaps between the events of the service. */
  readonly risk: PauseRisk;
  /** Longest pause between events that still meets the goal of the route, if it has one. */
  readonly pauseGoalMs?: number;
  /** Expected number of events that are still to be produced. */
  readonly events: number;
}

/**
 * How long work takes at one engine now. The pace of the service describes a usual engine:
 * forecasts multiply it by the slowness of this engine, and observations at this engine are
 * divided by it before they are recorded. Where no speed is known, the pace applies as it is.
 */
export class EngineTimes implements EngineForecasts {
  /** How many times as long as at a usual engine work takes now. */
  readonly slowness: number;

  constructor(private readonly sources: EngineTimesSources) {
    this.slowness = sources.speed.slowness(sources.nowMs);
  }

  /** Median time to prefill that many prompt tokens. */
  prefillMs(tokens: number): number {
    return this.sources.pace.prefillMs(tokens) * this.slowness;
  }

  /** Median time to produce that many output tokens. */
  outputMs(tokens: number): number {
    return this.sources.pace.outputMs(tokens) * this.slowness;
  }

  /** 97th percentile of the time to produce that many output tokens. */
  p97OutputMs(tokens: number): number {
    return this.sources.pace.p97OutputMs(tokens) * this.lastingSlowness;
  }

  /** Time within which that many output tokens are almost certainly produced. */
  maxExpectedOutputMs(tokens: number): number {
    return this.sources.pace.maxExpectedOutputMs(tokens) * this.lastingSlowness;
  }

  /** Slowness for long times of work: an engine that is fast now may not stay so. */
  private get lastingSlowness(): number {
    return Math.max(this.slowness, this.sources.speed.steadySlowness);
  }

  /** Gap between two events of a stream at the present pace. */
  get eventGapMs(): number {
    return this.outputMs(this.sources.tokensPerEvent);
  }

  /** Gap between two events of a stream at the steady speed of the engine. */
  get usualGapMs(): number {
    const {pace, speed, tokensPerEvent} = this.sources;
    return pace.outputMs(tokensPerEvent) * speed.steadySlowness;
  }

  /** Probability that a run at this engine has a pause over the goal of its route. */
  missChance({risk, pauseGoalMs, events}: EventOutlook): number {
    return risk.missChanceNow({
      usualGapMs: this.usualGapMs,
      presentGapMs: this.eventGapMs,
      pauseGoalMs,
      events,
    });
  }

  /** Records that a first event took `tookMs` from the send, with `tokens` to prefill. */
  notePrefill(tokens: number, tookMs: number): void {
    this.sources.pace.notePrefill(tokens, tookMs / this.slowness);
  }

  /** Records that a run produced `tokens` in `tookMs`. */
  noteOutput(tokens: number, tookMs: number): void {
    this.sources.pace.noteOutput(tokens, tookMs / this.slowness);
  }

  /** Records a gap between two events, if the usual gap at this engine is known. */
  noteGap(risk: PauseRisk, gapMs: number): void {
    if (this.sources.speed.isKnown) risk.note(gapMs, this.usualGapMs);
  }
}
