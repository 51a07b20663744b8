import type {EnginePace} from '@lilacledge/policy';

/** Events that are timed together: one alone may come late, or with another. */
const TIMED_EVENTS = 8;

/** Times a run's events at one engine for the pace of its service. */
export class OutputMeter {
  private sinceMs: number | undefined;
  private events = 0;

  constructor(
    private readonly pace: EnginePace,
    private readonly tokensPerEvent: number,
  ) {}

  noteEvent(nowMs: number): void {
    if (this.sinceMs === undefined) {
      this.sinceMs = nowMs;
      return;
    }
    this.events++;
    if (this.events < TIMED_EVENTS) return;
    const tokens = this.events * this.tokensPerEvent;
    this.pace.noteOutput(tokens, nowMs - this.sinceMs);
    this.sinceMs = nowMs;
    this.events = 0;
  }
}
