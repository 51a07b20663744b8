/** An entry must begin to keep a backoff this long after the rejection that requested it. */
const ADOPTION_MS = 500;

/** The requirements let this many requests reach the endpoint during a backoff. */
const MAX_SENDS_IN_BACKOFF = 2;

/** Allows for processes that wait for the CPU of a busy machine. */
const CPU_WAIT_MS = 250;

interface Arrival {
  readonly atMs: number;
  /** The backoff that the endpoint requests as it rejects this request. */
  readonly restMs: number | undefined;
}

/** Checks that an entry keeps the backoffs, or rests, that endpoints request as they reject. */
export class RestLedger {
  /** The entry that each request was sent to, by request id. */
  private readonly entries = new Map<string, string>();
  /** By entry and endpoint, in order of time. */
  private readonly arrivals = new Map<string, Arrival[]>();
  /** When processes of each entry ended. */
  private readonly entryEndsMs = new Map<string, number[]>();

  noteSent(requestId: string, entry: string): void {
    this.entries.set(requestId, entry);
  }

  noteArrival(endpointId: string, requestId: string, arrival: Arrival): void {
    const entry = this.entries.get(requestId);
    if (entry === undefined) return;
    const key = `${entry} ${endpointId}`;
    const known = this.arrivals.get(key) ?? [];
    known.push(arrival);
    this.arrivals.set(key, known);
  }

  /** The process of an entry has ended; its successor knows of no backoffs. */
  noteEntryEnded(entry: string, atMs: number): void {
    const known = this.entryEndsMs.get(entry) ?? [];
    this.entryEndsMs.set(entry, [...known, atMs]);
  }

  /** Rejections that requested a backoff. */
  get judgedCount(): number {
    let count = 0;
    for (const arrivals of this.arrivals.values()) {
      count += arrivals.filter(({restMs}) => restMs !== undefined).length;
    }
    return count;
  }

  /** Describes the worst violated backoff of each entry and endpoint. */
  violations(): string[] {
    return [...this.arrivals].flatMap(([key, arrivals]) => {
      const [entry, endpointId] = key.split(' ');
      const counts = arrivals.map((one) =>
        countInBackoff(arrivals, one, this.entryEndsMs.get(entry!) ?? []),
      );
      const most = Math.max(0, ...counts);
      if (most <= MAX_SENDS_IN_BACKOFF) return [];
      return [
        `${endpointId} asked ${entry} for rest and got ${most} requests in it, ${MAX_SENDS_IN_BACKOFF} are allowed`,
      ];
    });
  }
}

/** Counts arrivals in the backoff that a rejection requested, until the entry's process ended. */
function countInBackoff(
  arrivals: readonly Arrival[],
  {atMs: rejectedAtMs, restMs}: Arrival,
  endsMs: readonly number[],
): number {
  if (restMs === undefined) return 0;
  const endMs = endsMs.find((one) => one >= rejectedAtMs) ?? Infinity;
  const untilMs = Math.min(rejectedAtMs + restMs, endMs);
  const fromMs = rejectedAtMs + ADOPTION_MS + CPU_WAIT_MS;
  return arrivals.filter(({atMs}) => atMs > fromMs && atMs < untilMs).length;
}
