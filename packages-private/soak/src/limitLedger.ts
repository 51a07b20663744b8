import {InformedEntries} from './informedEntries.js';

/** The requirements bound the requests in any window by the rate, an overshoot and a slack. */
export const LIMIT_WINDOW_MS = 4_000;
const OVERSHOOT_FACTOR = 1.5;
const SLACK_REQUESTS = 5;

/** An entry must keep the rate from this long after it forwarded the first answer with it. */
const ADOPTION_MS = 500;

/** All entries together must keep the rate from this long after its first announcement. */
const CONVERGENCE_MS = 3_000;

/** Allows for processes that wait for the CPU of a busy machine. */
const CPU_WAIT_MS = 250;

interface Arrival {
  readonly atMs: number;
  readonly requestId: string;
  /** The rate limit that the endpoint announces in its answer. */
  readonly perS: number | undefined;
}

/** Consecutive arrivals whose answers announce a rate limit. */
type LimitedSpan = ReadonlyArray<Arrival & {readonly perS: number}>;

/** Checks that entries together keep the rate limits that endpoints announce in their answers. */
export class LimitLedger {
  private readonly arrivals = new Map<string, Arrival[]>();
  /** The entry that each request was sent to, by request id. */
  private readonly entries = new Map<string, string>();
  /** Endpoint and request ids of the answers that announce a rate limit. */
  private readonly limited = new Set<string>();
  private readonly informedEntries = new InformedEntries();

  noteSent(requestId: string, entry: string): void {
    this.entries.set(requestId, entry);
  }

  noteArrival(endpointId: string, arrival: Arrival): void {
    const known = this.arrivals.get(endpointId) ?? [];
    known.push(arrival);
    this.arrivals.set(endpointId, known);
    const {perS, requestId} = arrival;
    if (perS !== undefined) this.limited.add(`${endpointId} ${requestId}`);
  }

  /** An entry has forwarded an endpoint's answer. */
  noteForwarded(requestId: string, endpointId: string, atMs: number): void {
    const entry = this.entries.get(requestId);
    const announcesLimit = this.limited.has(`${endpointId} ${requestId}`);
    if (entry === undefined || !announcesLimit) return;
    this.informedEntries.noteInformed(entry, endpointId, atMs);
  }

  noteEntryEnded(entry: string, atMs: number): void {
    this.informedEntries.noteEntryEnded(entry, atMs);
  }

  /** Arrivals at endpoints that announced a rate limit. */
  get judgedCount(): number {
    return this.limited.size;
  }

  /** Describes the worst window of each endpoint that got more requests than allowed. */
  violations(): string[] {
    return [...this.arrivals].flatMap(([endpointId, arrivals]) => {
      const windows = limitedSpans(arrivals).flatMap((span) =>
        this.windowsOf(endpointId, span),
      );
      const [worst] = windows
        .filter(({count, allowed}) => count > allowed)
        .sort((a, b) => b.count - b.allowed - (a.count - a.allowed));
      if (worst === undefined) return [];
      const {count, allowed, perS} = worst;
      return [
        `${endpointId} named ${perS} a second and got ${count} requests in ${LIMIT_WINDOW_MS} ms, ${Math.floor(allowed)} are allowed`,
      ];
    });
  }

  private windowsOf(
    endpointId: string,
    span: LimitedSpan,
  ): Array<{count: number; allowed: number; perS: number}> {
    const counted = span.filter((arrival) =>
      this.isCounted(endpointId, arrival),
    );
    return counted
      .filter(({atMs}) => atMs >= span[0]!.atMs + CONVERGENCE_MS)
      .map(({atMs: endMs}) => {
        const inWindow = (one: Arrival): boolean =>
          one.atMs > endMs - LIMIT_WINDOW_MS && one.atMs <= endMs;
        const perS = Math.max(
          ...span.filter(inWindow).map((arrival) => arrival.perS),
        );
        const allowed =
          OVERSHOOT_FACTOR * perS * (LIMIT_WINDOW_MS / 1_000) + SLACK_REQUESTS;
        return {count: counted.filter(inWindow).length, allowed, perS};
      });
  }

  /** True when the entry that sent the request had known of the limit for long enough. */
  private isCounted(endpointId: string, {atMs, requestId}: Arrival): boolean {
    const entry = this.entries.get(requestId);
    if (entry === undefined) return false;
    const fromMs = this.informedEntries.informedSinceMs(
      entry,
      endpointId,
      atMs,
    );
    return fromMs !== undefined && atMs >= fromMs + ADOPTION_MS + CPU_WAIT_MS;
  }
}

function limitedSpans(arrivals: readonly Arrival[]): LimitedSpan[] {
  const spans: Array<Array<Arrival & {readonly perS: number}>> = [];
  let current: Array<Arrival & {readonly perS: number}> | undefined;
  for (const arrival of arrivals) {
    const {perS} = arrival;
    if (perS === undefined) {
      current = undefined;
      continue;
    }
    if (current === undefined) spans.push((current = []));
    current.push({...arrival, perS});
  }
  return spans;
}
