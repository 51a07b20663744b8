/** Decides the order in which waiting generations get room. */
export interface QueuePosition {
  /** True if urgent routes of the service go first, whatever the organisations. */
  readonly canWait?: boolean;
  /** Rank of the organisation, 0 first; within a class it takes precedence over the route's. */
  readonly organisationRank: number;
  readonly routeRank: number;
  /** Latest time to get room at which the latency goal is still met. */
  readonly latestStartMs: number;
  /** When its caller gives up. */
  readonly deadlineMs: number;
  /** True if it exceeds the fair share of its organisation; false if absent. */
  readonly isAboveShare?: boolean;
}

/**
 * Negative if `a` gets room before `b`. Orders by class, then by rank, then generations that can still
 * meet their goal first, then those within the fair share of their organisation, then by
 * deadline.
 *
 * Prevents metastable overload: in order of arrival, a queue that is longer than the
 * goal would serve all callers late, even after the load has fallen. Callers that retry
 * after a refusal have an earlier deadline than newcomers of their rank, so they are
 * not put behind them again.
 */
export function compareWaiting(
  a: QueuePosition,
  b: QueuePosition,
  nowMs: number,
): number {
  return (
    Number(a.canWait ?? false) - Number(b.canWait ?? false) ||
    a.organisationRank - b.organisationRank ||
    a.routeRank - b.routeRank ||
    Number(nowMs > a.latestStartMs) - Number(nowMs > b.latestStartMs) ||
    Number(a.isAboveShare ?? false) - Number(b.isAboveShare ?? false) ||
    a.deadlineMs - b.deadlineMs
  );
}
