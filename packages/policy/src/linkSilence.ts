/**
 * Decides when a link whose peer sends nothing has fallen silent. Only a time limit shows it, and
 * what was told in the meantime must be known again over a new link within the settling time.
 */

/** Interval between two checks of a link. */
export const LINK_CHECK_INTERVAL_MS = 250;

/** The rest of the settling time is for dialling, and for telling what was missed. */
const SILENCE_SHARE = 0.75;

/** A silent link has missed more than one heartbeat. */
const HEARTBEATS_PER_SILENCE = 2;

/** Longest time for which a link sends nothing. */
const MAX_HEARTBEAT_INTERVAL_MS = 1_000;

/** Returns the time without a message after which a heartbeat is sent. */
export function linkHeartbeatMs(settleMs: number): number {
  const intervalMs = (settleMs * SILENCE_SHARE) / HEARTBEATS_PER_SILENCE;
  return Math.min(MAX_HEARTBEAT_INTERVAL_MS, intervalMs);
}

/** Finds out that nothing was received on a link for too long. */
export class LinkSilence {
  private readonly maxChecks: number;
  private checksSinceReceipt = 0;

  /** @param settleMs time within which a process must know again what it has missed. */
  constructor(settleMs: number) {
    const silenceMs = settleMs * SILENCE_SHARE;
    this.maxChecks = Math.floor(silenceMs / LINK_CHECK_INTERVAL_MS);
  }

  noteReceived(): void {
    this.checksSinceReceipt = 0;
  }

  /**
   * Returns whether the link is silent; called once an interval. Checks are counted, not time: a
   * process that was held up for seconds finds what its peer sent only after its first check.
   */
  check(): boolean {
    this.checksSinceReceipt++;
    return this.checksSinceReceipt >= this.maxChecks;
  }
}
