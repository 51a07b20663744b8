/** What all entries together may send beyond the first of each request (stated). */
export const RETRY_RATIO = 0.2;
export const RETRY_WINDOW_MS = 10_000;

/** Requests and arrivals of one service, in order of time. */
interface ServiceRecord {
  readonly requestsMs: number[];
  readonly arrived: Set<string>;
  readonly repeatsMs: number[];
}

/** Sends beyond the first of each request, counted where they arrive. */
export class RepeatLedger {
  /** Free sends in a window, over all entries (stated). */
  retrySlack = 0;
  private readonly services = new Map<string, ServiceRecord>();

  /** A caller is about to ask for something of a service. */
  noteRequest(service: string, atMs: number): void {
    this.recordOf(service).requestsMs.push(atMs);
  }

  /** A request reached an endpoint of a service, whether it was run or not. */
  noteArrival(service: string, requestId: string, atMs: number): void {
    const {arrived, repeatsMs} = this.recordOf(service);
    if (arrived.has(requestId)) repeatsMs.push(atMs);
    arrived.add(requestId);
  }

  /** Arrivals beyond the first, over all services. */
  get count(): number {
    let count = 0;
    for (const {repeatsMs} of this.services.values()) count += repeatsMs.length;
    return count;
  }

  /** The worst window of each service that had more than is allowed. */
  violations(): string[] {
    return [...this.services].flatMap(([service, record]) => {
      const worst = worstWindow(record, this.retrySlack);
      if (worst === undefined || worst.repeats <= worst.allowed) return [];
      const {repeats, allowed} = worst;
      return [
        `${service}: ${repeats} sends beyond the first in ${RETRY_WINDOW_MS} ms, ${Math.floor(allowed)} are allowed`,
      ];
    });
  }

  private recordOf(service: string): ServiceRecord {
    const known = this.services.get(service);
    if (known !== undefined) return known;
    const added = {requestsMs: [], arrived: new Set<string>(), repeatsMs: []};
    this.services.set(service, added);
    return added;
  }
}

interface Window {
  readonly repeats: number;
  readonly allowed: number;
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
 * The requests are those of the window, of the one before it or of the one half a window
 * before it, whichever has most (stated).
 */
function windowFrom(
  {requestsMs, repeatsMs}: ServiceRecord,
  retrySlack: number,
  fromMs: number,
): Window {
  const requests = Math.max(
    ...[0, RETRY_WINDOW_MS / 2, RETRY_WINDOW_MS].map((earlierMs) =>
      countFrom(requestsMs, fromMs - earlierMs),
    ),
  );
  return {
    repeats: countFrom(repeatsMs, fromMs),
    allowed: RETRY_RATIO * requests + retrySlack,
  };
}

/** How many times lie in the window that begins at `fromMs`. */
function countFrom(timesMs: readonly number[], fromMs: number): number {
  const untilMs = fromMs + RETRY_WINDOW_MS;
  return timesMs.filter((atMs) => atMs >= fromMs && atMs < untilMs).length;
}
