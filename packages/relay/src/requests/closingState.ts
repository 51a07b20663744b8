import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {ShutdownTimes} from '@lilacledge/policy';

/** Whether this process is shutting down, and which connections to callers it closes. */
export interface ClosingState extends ShutdownTimes {
  readonly isClosing: boolean;
  /** Whether the answer that is written now ends its connection. */
  endsConnection(response: ServerResponse): boolean;
  /** Calls `listener` once when a shutdown begins; the result removes it. */
  onceBegun(listener: () => void): () => void;
}

/** What the connections of callers say about the end of one of them. */
export interface ConnectionEnds {
  /** Whether an answer ends its connection to spread the callers. */
  takeRelease(socket: Socket | null): boolean;
  /** Whether the caller has sent a request ahead that is still to be answered. */
  hasRequestBehind(response: ServerResponse): boolean;
}

/** The shutdown of one entry. */
export class EntryClosing implements ClosingState {
  beganAtMs = Number.POSITIVE_INFINITY;
  endsAtMs = Number.POSITIVE_INFINITY;
  private readonly listeners = new Set<() => void>();

  constructor(private readonly connections: ConnectionEnds) {}

  get isClosing(): boolean {
    return this.beganAtMs !== Number.POSITIVE_INFINITY;
  }

  endsConnection(response: ServerResponse): boolean {
    if (this.connections.hasRequestBehind(response)) return false;
    return this.isClosing || this.connections.takeRelease(response.socket);
  }

  /** Begins a shutdown that ends open requests `servesForMs` later. */
  begin(nowMs: number, servesForMs: number): void {
    this.beganAtMs = nowMs;
    this.endsAtMs = nowMs + servesForMs;
    const listeners = [...this.listeners];
    this.listeners.clear();
    for (const listener of listeners) listener();
  }

  onceBegun(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }
}
