/** Generations that may continue at an endpoint during one backoff; the limit is two requests in all. */
const MAX_CONTINUATIONS = 1;

/**
 * Backoff that an overloaded endpoint requested from this entry. The latest end applies:
 * neither responses to earlier requests nor shorter backoffs end it early.
 */
export class RequestedBackoff {
  private endsAtMs = -Infinity;
  private continuations = 0;

  noteRequest(backoffMs: number, nowMs: number): void {
    if (nowMs >= this.endsAtMs) this.continuations = 0;
    this.endsAtMs = Math.max(this.endsAtMs, nowMs + backoffMs);
  }

  /** Time until the backoff ends; 0 if none is active. */
  remainingMs(nowMs: number): number {
    return Math.max(0, this.endsAtMs - nowMs);
  }

  /** Whether a generation that would otherwise be lost may continue there; if so, counts it. */
  tryContinue(nowMs: number): boolean {
    if (this.remainingMs(nowMs) === 0) return true;
    if (this.continuations >= MAX_CONTINUATIONS) return false;
    this.continuations++;
    return true;
  }
}
