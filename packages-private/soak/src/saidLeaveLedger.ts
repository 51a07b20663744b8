import {DRAIN_MS} from './leaveLedger.js';
import {InformedEntries} from './informedEntries.js';

/** Allows for processes that wait for the CPU of a busy machine. */
const CPU_WAIT_MS = 250;

interface Arrival {
  readonly endpointId: string;
  readonly requestId: string;
  readonly atMs: number;
  /** True when the endpoint announces in its answer that it is leaving. */
  readonly saysLeaving: boolean;
}

interface SentRequest {
  readonly entry: string;
  readonly atMs: number;
}

/** Checks that entries send no new work to endpoints whose answers announced that they leave. */
export class SaidLeaveLedger {
  private readonly sent = new Map<string, SentRequest>();
  private readonly arrivals: Arrival[] = [];
  /** Endpoint and request ids of the answers that announced a leave. */
  private readonly announced = new Set<string>();
  private readonly informedEntries = new InformedEntries();

  noteSent(requestId: string, entry: string, atMs: number): void {
    this.sent.set(requestId, {entry, atMs});
  }

  noteArrival(arrival: Arrival): void {
    this.arrivals.push(arrival);
    const {endpointId, requestId, saysLeaving} = arrival;
    if (saysLeaving) this.announced.add(`${endpointId} ${requestId}`);
  }

  /** An entry has forwarded an endpoint's answer. */
  noteForwarded(requestId: string, endpointId: string, atMs: number): void {
    const sent = this.sent.get(requestId);
    const isAnnounced = this.announced.has(`${endpointId} ${requestId}`);
    if (sent === undefined || !isAnnounced) return;
    this.informedEntries.noteInformed(sent.entry, endpointId, atMs);
  }

  noteEntryEnded(entry: string, atMs: number): void {
    this.informedEntries.noteEntryEnded(entry, atMs);
  }

  /** Arrivals at endpoints that announced that they leave. */
  get judgedCount(): number {
    return this.announced.size;
  }

  violations(): string[] {
    return this.arrivals.flatMap(({endpointId, requestId, atMs}) => {
      const sent = this.sent.get(requestId);
      if (sent === undefined) return [];
      const informedAtMs = this.informedEntries.informedSinceMs(
        sent.entry,
        endpointId,
        atMs,
      );
      if (informedAtMs === undefined) return [];
      const afterMs = sent.atMs - informedAtMs;
      if (afterMs <= DRAIN_MS + CPU_WAIT_MS) return [];
      return [
        `${requestId} reached ${endpointId} from ${sent.entry}, sent ${Math.round(afterMs)} ms after its answer said that it leaves`,
      ];
    });
  }
}
