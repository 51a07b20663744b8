import {ToldEntries} from './toldEntries.js';

/** A rate is kept in any span of this length, but for an overshoot and a slack (stated). */
export const LIMIT_WINDOW_MS = 4_000;
const OVERSHOOT = 1.5;
const SLACK = 5;

/** An entry keeps it from this long after it has passed on the first answer (stated). */
const TOLD_MS = 500;

/** All entries together keep it from this long after it was named first (stated). */
const CONTACT_MS = 3_000;

/** A request may wait that long for the processor of a busy machine. */
const SCHEDULING_MS = 250;

interface Arrival {
  readonly atMs: number;
  readonly requestId: string;
  /** The rate that the endpoint names in its answer. */
  readonly perS: number | undefined;
}

/** Arrivals in a row whose answers name a rate. */
type LimitedSpan = ReadonlyArray<Arrival & {readonly perS: number}>;

/** Requests that reach endpoints which name the rate that they take. */
export class LimitLedger {
  private readonly arrivals = new Map<string, Arrival[]>();
  private readonly entries = new Map<string, string>();
  /** Endpoints and requests of answers that name a rate. */
  private readonly limited = new Set<string>();
  private readonly told = new ToldEntries();

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

  /** An entry has passed on an endpoint's answer. */
  notePassedOn(requestId: string, endpointId: string, atMs: number): void {
    const entry = this.entries.get(requestId);
    const isTold = this.limited.has(`${endpointId} ${requestId}`);
    if (entry === undefined || !isTold) return;
    this.told.noteTold(entry, endpointId, atMs);
  }

  noteEntryEnded(entry: string, atMs: number): void {
    this.told.noteEnded(entry, atMs);
  }

  /** Arrivals at endpoints that named a rate. */
  get judgedCount(): number {
    return this.limited.size;
  }

  /** The worst window of each endpoint that got more than is allowed. */
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
    const counted = span.filter((arrival) => this.counts(endpointId, arrival));
    return counted
      .filter(({atMs}) => atMs >= span[0]!.atMs + CONTACT_MS)
      .map(({atMs: endMs}) => {
        const inWindow = (one: Arrival): boolean =>
          one.atMs > endMs - LIMIT_WINDOW_MS && one.atMs <= endMs;
        const perS = Math.max(
          ...span.filter(inWindow).map((arrival) => arrival.perS),
        );
        const allowed = OVERSHOOT * perS * (LIMIT_WINDOW_MS / 1_000) + SLACK;
        return {count: counted.filter(inWindow).length, allowed, perS};
      });
  }

  /** True for a request of an entry that had been told in time. */
  private counts(endpointId: string, {atMs, requestId}: Arrival): boolean {
    const entry = this.entries.get(requestId);
    if (entry === undefined) return false;
    const sinceMs = this.told.knownSinceMs(entry, endpointId, atMs);
    return sinceMs !== undefined && atMs >= sinceMs + TOLD_MS + SCHEDULING_MS;
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
