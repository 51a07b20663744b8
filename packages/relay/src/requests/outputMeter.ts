import type {PauseRisk} from '@lilacledge/policy';
import type {Endpoint} from '../endpoints/endpoint.js';
import type {EngineTimes} from '../endpoints/engineTimes.js';
import type {EngineTraits} from '../model/index.js';
import {engineTimesAt} from './relayContext.js';
import type {RelayContext} from './relayContext.js';

/** Events are timed in groups, as a single one may be delayed or arrive with the next one. */
const EVENTS_PER_SAMPLE = 8;

/** A write to the caller that took this long was blocked and delayed the next event. */
const BLOCKED_WRITE_MS = 5;

/** Creates the meter of a stream at one engine. */
export function createOutputMeter(
  context: RelayContext,
  endpoint: Endpoint,
  traits: EngineTraits,
): OutputMeter {
  return new OutputMeter(
    () => engineTimesAt(context, endpoint, traits),
    context.pauseRiskOf(endpoint.record.service),
    traits.tokensPerEvent,
  );
}

/** Measures how fast an engine produces a run's events, and the gaps between them. */
export class OutputMeter {
  private sampleStartMs: number | undefined;
  private events = 0;
  /** Undefined if the gap to the next event is not that of the engine. */
  private lastEventMs: number | undefined;

  constructor(
    /** Returns the times at the engine now. */
    private readonly times: () => EngineTimes,
    private readonly risk: PauseRisk,
    private readonly tokensPerEvent: number,
  ) {}

  noteEvent(nowMs: number): void {
    const {lastEventMs} = this;
    this.lastEventMs = nowMs;
    if (lastEventMs !== undefined) {
      this.times().noteGap(this.risk, nowMs - lastEventMs);
    }
    if (this.sampleStartMs === undefined) {
      this.sampleStartMs = nowMs;
      return;
    }
    this.events++;
    if (this.events < EVENTS_PER_SAMPLE) return;
    const tokens = this.events * this.tokensPerEvent;
    this.times().noteOutput(tokens, nowMs - this.sampleStartMs);
    this.sampleStartMs = nowMs;
    this.events = 0;
  }

  /** Records the end of the write of the last event, which may have waited for the caller. */
  noteWritten(nowMs: number): void {
    if (this.lastEventMs === undefined) return;
    if (nowMs - this.lastEventMs <= BLOCKED_WRITE_MS) return;
    this.lastEventMs = undefined;
    this.sampleStartMs = undefined;
    this.events = 0;
  }
}
