import {DRAIN_MS} from './leaveLedger.js';
import {ToldEntries} from './toldEntries.js';

/** A request may wait that long for the processor of a busy machine. */
const SCHEDULING_MS = 250;

interface Arrival {
  readonly endpointId: string;
  readonly requestId: string;
  readonly atMs: number;
  /** True when the endpoint says in its answer that it leaves. */
  readonly saysLeaving: boolean;
}

interface Sent {
  readonly entry: string;
  readonly atMs: number;
}

/** Requests that reach endpoints whose answers had told the entry that they leave. */
export class SaidLeaveLedger {
  private readonly sent = new Map<string, Sent>();
  private readonly arrivals: Arrival[] = [];
  /** Endpoints and requests of answers that say so. */
  private readonly saidLeave = new Set<string>();
  private readonly told = new ToldEntries();

  noteSent(requestId: string, entry: string, atMs: number): void {
    this.sent.set(requestId, {entry, atMs});
  }

  noteArrival(arrival: Arrival): void {
    this.arrivals.push(arrival);
    const {endpointId, requestId, saysLeaving} = arrival;
    if (saysLeaving) this.saidLeave.add(`${endpointId} ${requestId}`);
  }

  /** An entry has passed on an endpoint's answer. */
  notePassedOn(requestId: string, endpointId: string, atMs: number): void {
    const sent = this.sent.get(requestId);
    const saidLeave = this.saidLeave.has(`${endpointId} ${requestId}`);
    if (sent === undefined || !saidLeave) return;
    this.told.noteTold(sent.entry, endpointId, atMs);
  }

  noteEntryEnded(entry: string, atMs: number): void {
    this.told.noteEnded(entry, atMs);
  }

  /** Arrivals at endpoints that say that they leave. */
  get judgedCount(): number {
    return this.saidLeave.size;
  }

  violations(): string[] {
    return this.arrivals.flatMap(({endpointId, requestId, atMs}) => {
      const sent = this.sent.get(requestId);
      if (sent === undefined) return [];
      const toldMs = this.told.knownSinceMs(sent.entry, endpointId, atMs);
      if (toldMs === undefined) return [];
      const afterMs = sent.atMs - toldMs;
      if (afterMs <= DRAIN_MS + SCHEDULING_MS) return [];
      return [
        `${requestId} reached ${endpointId} from ${sent.entry}, sent ${Math.round(afterMs)} ms after its answer said that it leaves`,
      ];
    });
  }
}
