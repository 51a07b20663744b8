/** A rest binds from this long after the rejection that asked for it (stated). */
const GRACE_MS = 500;

/** So many requests may reach the endpoint all the same (stated). */
const MOST_IN_REST = 2;

/** A request may wait that long for the processor of a busy machine. */
const SCHEDULING_MS = 250;

interface Arrival {
  readonly atMs: number;
  /** The rest that the endpoint asks for as it rejects this request. */
  readonly restMs: number | undefined;
}

/** Requests that reach endpoints which have asked their entry for rest. */
export class RestLedger {
  private readonly entries = new Map<string, string>();
  /** By entry and endpoint, in order of time. */
  private readonly arrivals = new Map<string, Arrival[]>();
  private readonly endsMs = new Map<string, number[]>();

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

  /** The process of an entry has ended: the next one knows nothing. */
  noteEntryEnded(entry: string, atMs: number): void {
    const known = this.endsMs.get(entry) ?? [];
    this.endsMs.set(entry, [...known, atMs]);
  }

  /** Rejections that asked for rest. */
  get judgedCount(): number {
    let count = 0;
    for (const arrivals of this.arrivals.values()) {
      count += arrivals.filter(({restMs}) => restMs !== undefined).length;
    }
    return count;
  }

  /** The worst rest of each entry and endpoint that was broken. */
  violations(): string[] {
    return [...this.arrivals].flatMap(([key, arrivals]) => {
      const [entry, endpointId] = key.split(' ');
      const counts = arrivals.map((one) =>
        countInRest(arrivals, one, this.endsMs.get(entry!) ?? []),
      );
      const most = Math.max(0, ...counts);
      if (most <= MOST_IN_REST) return [];
      return [
        `${endpointId} asked ${entry} for rest and got ${most} requests in it, ${MOST_IN_REST} are allowed`,
      ];
    });
  }
}

/** Arrivals in the rest that a rejection asked for, until the entry's process ended. */
function countInRest(
  arrivals: readonly Arrival[],
  {atMs: askedMs, restMs}: Arrival,
  endsMs: readonly number[],
): number {
  if (restMs === undefined) return 0;
  const endMs = endsMs.find((one) => one >= askedMs) ?? Infinity;
  const untilMs = Math.min(askedMs + restMs, endMs);
  const fromMs = askedMs + GRACE_MS + SCHEDULING_MS;
  return arrivals.filter(({atMs}) => atMs > fromMs && atMs < untilMs).length;
}
