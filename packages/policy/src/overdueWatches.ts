/**
 * Decides when items are listed in place of a watch that gets no answer in time. An answer with
 * much in it begins late, and the same watch would have as much to answer again; a page of a list
 * begins sooner and is bounded.
 */

/** A watch that got no answer for so much longer than it waits is overdue. */
const OVERDUE_MS = 500;

/** A single one may meet a short silence of the store, which a list would not end sooner. */
const MAX_OVERDUE_WATCHES = 2;

/** Counts the watches in a row that were overdue. */
export class OverdueWatches {
  private overdue = 0;

  /** Whether the items are to be listed next. */
  get mustList(): boolean {
    return this.overdue >= MAX_OVERDUE_WATCHES;
  }

  /** A call was answered, or a list failed. */
  reset(): void {
    this.overdue = 0;
  }

  /**
   * A watch failed.
   *
   * @param waitMs how long it was to wait for changes.
   */
  noteFailed(tookMs: number, waitMs: number): void {
    const isOverdue = tookMs >= waitMs + OVERDUE_MS;
    this.overdue = isOverdue ? this.overdue + 1 : 0;
  }
}
