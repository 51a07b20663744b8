/** Runs that may go on at an endpoint in one rest; two requests in all may reach it (stated). */
const MOST_CONTINUATIONS = 1;

/**
 * The time for which an endpoint that rejects wants nothing from this entry. The latest end
 * that it asked for holds: answers to what was sent before, and shorter rests, do not end it.
 */
export class AskedRest {
  private endsMs = -Infinity;
  private continuations = 0;

  noteAsked(restMs: number, nowMs: number): void {
    if (nowMs >= this.endsMs) this.continuations = 0;
    this.endsMs = Math.max(this.endsMs, nowMs + restMs);
  }

  /** Time until it is over; 0 when it is. */
  leftMs(nowMs: number): number {
    return Math.max(0, this.endsMs - nowMs);
  }

  /** Whether a run that would be lost may go on there; counts it if so. */
  tryContinue(nowMs: number): boolean {
    if (this.leftMs(nowMs) === 0) return true;
    if (this.continuations >= MOST_CONTINUATIONS) return false;
    this.continuations++;
    return true;
  }
}
