/** The requirements let the forwarded time exceed what is left by this much. */
const TOLERANCE_MS = 500;

/** The requirements tolerate this many sends with a wrong time, or this share of those judged. */
const MAX_WRONG = 20;
const MAX_WRONG_SHARE = 0.2;

interface SentRequest {
  /** How long its caller waits for the answer. */
  readonly callerTimeoutMs: number;
  /** Its first arrival at an endpoint, and the deadline that this endpoint was given. */
  firstArrival:
    {readonly atMs: number; readonly deadlineAtMs: number} | undefined;
}

/** Checks the time left that entries state to endpoints against the timeouts of the callers. */
export class DeadlineLedger {
  private readonly sent = new Map<string, SentRequest>();
  private wrongCount = 0;
  /** Retries that arrived later than the tolerance after the first arrival. */
  private lateRetries = 0;

  /** A caller sends a request with this timeout. */
  noteSent(requestId: string, callerTimeoutMs: number): void {
    this.sent.set(requestId, {
      callerTimeoutMs,
      firstArrival: undefined,
    });
  }

  /** A request reaches an endpoint; `timeLeftMs` is undefined when the endpoint is told none. */
  noteArrival(
    requestId: string,
    atMs: number,
    timeLeftMs: number | undefined,
  ): void {
    const sent = this.sent.get(requestId);
    if (sent === undefined) return;
    const isLate =
      sent.firstArrival !== undefined &&
      atMs > sent.firstArrival.atMs + TOLERANCE_MS;
    if (isLate) this.lateRetries++;
    if (isWrongTimeLeft(sent, atMs, timeLeftMs, isLate)) this.wrongCount++;
    const deadlineAtMs = atMs + (timeLeftMs ?? sent.callerTimeoutMs);
    sent.firstArrival ??= {atMs, deadlineAtMs};
  }

  /** Retries that were judged against the first arrival of their request. */
  get lateRetryCount(): number {
    return this.lateRetries;
  }

  violations(): string[] {
    const judgedCount = this.wrongCount + this.lateRetries;
    const isTolerated =
      this.wrongCount <= MAX_WRONG ||
      this.wrongCount <= judgedCount * MAX_WRONG_SHARE;
    if (isTolerated) return [];
    return [`${this.wrongCount} sends had no time, or more than was left`];
  }
}

function isWrongTimeLeft(
  {callerTimeoutMs, firstArrival}: SentRequest,
  atMs: number,
  timeLeftMs: number | undefined,
  isLate: boolean,
): boolean {
  if (timeLeftMs === undefined) return true;
  if (timeLeftMs > callerTimeoutMs + TOLERANCE_MS) return true;
  if (!isLate || firstArrival === undefined) return false;
  return atMs + timeLeftMs > firstArrival.deadlineAtMs + TOLERANCE_MS;
}
