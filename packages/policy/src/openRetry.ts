/** A retry that counts in all windows of a budget until its arrival lies behind. */
export interface OpenRetry {
  /**
   * Ends that: the retry has arrived by this time, or it never will. Later calls have no effect.
   */
  settle(arrivedByMs: number): void;
}

/**
 * How long a retry may be open. A process that is suspended for longer, or a network that keeps what
 * it was given for longer, may receive it without its being counted.
 */
export const MAX_OPEN_MS = 60_000;
