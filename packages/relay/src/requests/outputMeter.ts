import type {EnginePace} from '@lilacledge/policy';

/** Events are timed in groups, as a single one may be delayed or arrive with the next one. */
const EVENTS_PER_SAMPLE = 8;

/** Measures how fast an engine produces a run's events, for the pace of its service. */
export class OutputMeter {
  private sampleStartMs: number | undefined;
  private events = 0;

  constructor(
    private readonly pace: EnginePace,
    private readonly tokensPerEvent: number,
  ) {}

  noteEvent(nowMs: number): void {
    if (this.sampleStartMs === undefined) {
      this.sampleStartMs = nowMs;
      return;
    }
    this.events++;
    if (this.events < EVENTS_PER_SAMPLE) return;
    const tokens = this.events * this.tokensPerEvent;
    this.pace.noteOutput(tokens, nowMs - this.sampleStartMs);
    this.sampleStartMs = nowMs;
    this.events = 0;
  }
}
