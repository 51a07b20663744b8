import type {Clock} from '@lilacledge/shared';

/**
 * All entries know of a change of the fleet within this time: of a new entry, and of one that
 * is gone. Loans of an entry that has ended are used up by then, too.
 */
export const FLEET_VIEW_LAG_MS = 3_000;

/**
 * Whether this process may use its share of the slack.
 *
 * What prior incarnations of the entry have used of the share is not known, and must lie outside
 * of all windows before it is used again. Likewise, entries that have lost sight of this one
 * divide the slack without it.
 */
export class SlackTenure {
  /** The share may be used from a window after this time on. */
  private sinceMs: number;
  private lastContactMs: number;

  constructor(
    /** True if the entry has no prior incarnation. */
    isFirst: boolean,
    private readonly windowMs: () => number,
    private readonly clock: Pick<Clock, 'nowMs'>,
  ) {
    const nowMs = clock.nowMs();
    this.sinceMs = isFirst ? Number.NEGATIVE_INFINITY : nowMs;
    this.lastContactMs = nowMs;
  }

  /** Another entry was heard, or the store lists this one. */
  noteContact(): void {
    const nowMs = this.clock.nowMs();
    if (this.isLost(nowMs)) this.sinceMs = nowMs;
    this.lastContactMs = nowMs;
  }

  get isHeld(): boolean {
    const nowMs = this.clock.nowMs();
    const heldFromMs = this.sinceMs + this.windowMs() + FLEET_VIEW_LAG_MS;
    return nowMs > heldFromMs && !this.isLost(nowMs);
  }

  /** Entries that lose sight of this one still count it for a window. */
  private isLost(nowMs: number): boolean {
    return nowMs - this.lastContactMs > this.windowMs() - FLEET_VIEW_LAG_MS;
  }
}
