/**
 * Decides when an entry goes on with work that gives way to new connections: each iteration of
 * the event loop takes one of these, so that a loop in full use keeps them waiting.
 */

/** Use of the event loop up to which such work goes on, 0 to 1. */
const TARGET_UTILISATION = 0.75;

/** How one kind of such work is spaced. */
export interface PaceLimits {
  /** The next piece is begun after this time whatever the use is, so that none waits for ever. */
  readonly maxPauseMs: number;
  /** Unused time of the loop that pieces which come together may use later. */
  readonly maxCreditMs: number;
}

/** Requests that were sent before the answers to earlier ones on their connections. */
export const SENT_AHEAD_PACE: PaceLimits = {maxPauseMs: 100, maxCreditMs: 0};

/** What a connection delivers of a body or an answer before it waits for a turn. */
export const BULK_PIECE_BYTES = 64 * 1024;

/**
 * Pieces of large bodies and answers. A loop in full use still reads 200 of them a second; a single
 * body of some MB is read at once.
 */
export const BULK_READ_PACE: PaceLimits = {maxPauseMs: 5, maxCreditMs: 20};

/** Spaces pieces of work by what the event loop has left. */
export class LoopPace {
  private begunAtMs = Number.NEGATIVE_INFINITY;
  private idleAtMs = 0;
  private creditMs = 0;

  constructor(private readonly limits: PaceLimits) {}

  /**
   * Returns whether a piece may be begun now, and counts it then.
   *
   * @param idleMs time for which the event loop has waited for events so far.
   */
  take(nowMs: number, idleMs: number): boolean {
    const {maxPauseMs, maxCreditMs} = this.limits;
    const elapsedMs = nowMs - this.begunAtMs;
    const idleForMs = idleMs - this.idleAtMs;
    const unusedMs = idleForMs - (1 - TARGET_UTILISATION) * elapsedMs;
    const creditMs = this.creditMs + unusedMs;
    if (creditMs <= 0 && elapsedMs < maxPauseMs) return false;
    this.begunAtMs = nowMs;
    this.idleAtMs = idleMs;
    this.creditMs = Math.min(Math.max(0, creditMs), maxCreditMs);
    return true;
  }
}
