import type {ShutdownTimes} from '@lilacledge/policy';

/** Whether this process is shutting down, and which connections to callers it closes. */
export interface ClosingState extends ShutdownTimes {
  readonly isClosing: boolean;
  /** Whether the answer that is written now ends its connection to spread the callers. */
  releasesConnection(): boolean;
  /** Calls `listener` once when a shutdown begins; the result removes it. */
  onceBegun(listener: () => void): () => void;
}

/** The shutdown of one entry. */
export class EntryClosing implements ClosingState {
  beganAtMs = Number.POSITIVE_INFINITY;
  endsAtMs = Number.POSITIVE_INFINITY;
  private readonly listeners = new Set<() => void>();

  constructor(readonly releasesConnection: () => boolean) {}

  get isClosing(): boolean {
    return this.beganAtMs !== Number.POSITIVE_INFINITY;
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
