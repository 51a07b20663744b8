/** The requirements let all entries together retry this share of the requests of a window. */
export const RETRY_RATIO = 0.2;
export const RETRY_WINDOW_MS = 10_000;

/** A retry that arrives longer than this after its caller's send has waited on the way. */
const LATE_MS = 1_000;

/** Requests and arrivals of one service; times in ascending order. */
interface ServiceRecord {
  /** When callers sent requests. */
  readonly requestsMs: number[];
  /** When callers sent the requests, by id. */
  readonly sentMs: Map<string, number>;
  /** Ids of the requests that have reached an endpoint. */
  readonly arrived: Set<string>;
  /** When requests reached an endpoint again. */
  readonly repeatsMs: number[];
  /** Those of them that came late. */
  readonly lateMs: number[];
}

/**
 * Checks retries against the budget that all entries share. Its repeats are sends of a request
 * beyond the first, counted where they arrive.
 */
export class RepeatLedger {
  /** Retries that all entries together may send in a window besides the share of the requests. */
  retrySlack = 0;
  private readonly services = new Map<string, ServiceRecord>();

  /** A caller is about to send a request to a service. */
  noteRequest(service: string, atMs: number, requestId?: string): void {
    const {requestsMs, sentMs} = this.recordOf(service);
    requestsMs.push(atMs);
    if (requestId !== undefined) sentMs.set(requestId, atMs);
  }

  /** A request reached an endpoint of a service, which may have run or rejected it. */
  noteArrival(service: string, requestId: string, atMs: number): void {
    const {arrived, repeatsMs, lateMs, sentMs} = this.recordOf(service);
    if (arrived.has(requestId)) {
      repeatsMs.push(atMs);
      const ageMs = atMs - (sentMs.get(requestId) ?? atMs);
      if (ageMs > LATE_MS) lateMs.push(atMs);
    }
    arrived.add(requestId);
  }

  /** Retries of all services. */
  get count(): number {
    let count = 0;
    for (const {repeatsMs} of this.services.values()) count += repeatsMs.length;
    return count;
  }

  /** The window closest to its budget, or furthest beyond it, of each service with retries. */
  worstWindows(): RetryWindow[] {
    return [...this.services].flatMap(([service, record]) => {
      const worst = worstWindow(record, this.retrySlack);
      return worst === undefined ? [] : [{service, ...worst}];
    });
  }

  /** Describes the worst window of each service that had more retries than allowed. */
  violations(): string[] {
    return this.worstWindows()
      .filter(({repeats, allowed}) => repeats > allowed)
      .map(
        ({service, repeats, allowed, late}) =>
          `${service}: ${repeats} sends beyond the first in ${RETRY_WINDOW_MS} ms, ${Math.floor(allowed)} are allowed; ${late} came over ${LATE_MS} ms after their callers' sends`,
      );
  }

  private recordOf(service: string): ServiceRecord {
    const known = this.services.get(service);
    if (known !== undefined) return known;
    const added = {
      requestsMs: [],
      sentMs: new Map<string, number>(),
      arrived: new Set<string>(),
      repeatsMs: [],
      lateMs: [],
    };
    this.services.set(service, added);
    return added;
  }
}

interface Window {
  readonly repeats: number;
  /** Retries that the budget allows; not rounded. */
  readonly allowed: number;
  /** Of the retries, those that came long after their callers' sends. */
  readonly late: number;
}

/** Retries of one service in a window, and its budget for them. */
export interface RetryWindow extends Window {
  readonly service: string;
}

function worstWindow(
  record: ServiceRecord,
  retrySlack: number,
): Window | undefined {
  let worst: Window | undefined;
  for (const fromMs of record.repeatsMs) {
    const window = windowFrom(record, retrySlack, fromMs);
    if (worst === undefined || excessOf(window) > excessOf(worst)) {
      worst = window;
    }
  }
  return worst;
}

function excessOf({repeats, allowed}: Window): number {
  return repeats - allowed;
}

/**
 * Compares the retries of the window that begins at `fromMs` with its budget. By the requirements,
 * the budget follows from the requests of this window, of the one half a window earlier or of the
 * one before it, whichever has most.
 */
function windowFrom(
  {requestsMs, repeatsMs, lateMs}: ServiceRecord,
  retrySlack: number,
  fromMs: number,
): Window {
  const requests = Math.max(
    ...[0, RETRY_WINDOW_MS / 2, RETRY_WINDOW_MS].map((earlierMs) =>
      countInWindow(requestsMs, fromMs - earlierMs),
    ),
  );
  return {
    repeats: countInWindow(repeatsMs, fromMs),
    allowed: RETRY_RATIO * requests + retrySlack,
    late: countInWindow(lateMs, fromMs),
  };
}

/** Counts the times in the window that begins at `fromMs`. */
function countInWindow(timesMs: readonly number[], fromMs: number): number {
  const untilMs = fromMs + RETRY_WINDOW_MS;
  return timesMs.filter((atMs) => atMs >= fromMs && atMs < untilMs).length;
}
