import type {CancelTimer, Clock} from '@lilacledge/shared';

/** An available store responds within this time even when it is slow. */
const MAX_CLOSED_MS = 1_000;

/**
 * Holds sends after the process was suspended, as its view of endpoints may be stale, until
 * the store responds. That usually takes a few milliseconds. If the store is unavailable,
 * the process continues with the view that it has, as in any other outage.
 */
export class ViewGate {
  private isClosed = false;
  private closedAtMs = 0;
  private cancelTimeout: CancelTimer = () => {};
  private waiting: Array<() => void> = [];

  constructor(private readonly clock: Clock) {}

  get isOpen(): boolean {
    // Reading the clock detects a suspension, which closes the gate.
    this.clock.nowMs();
    return !this.isClosed;
  }

  /** Closes the gate; restarts the timeout if a second suspension follows the first. */
  close(): void {
    this.isClosed = true;
    this.closedAtMs = this.clock.nowMs();
    this.cancelTimeout();
    this.cancelTimeout = this.clock.after(MAX_CLOSED_MS, () => this.open());
  }

  /**
   * Opens the gate if the store responded to a call sent after it closed. The response to an
   * earlier call may have been in the socket during the suspension.
   */
  noteStoreResponse(sentMs: number): void {
    if (this.isClosed && sentMs >= this.closedAtMs) this.open();
  }

  open(): void {
    this.isClosed = false;
    this.cancelTimeout();
    const {waiting} = this;
    this.waiting = [];
    for (const resolve of waiting) resolve();
  }

  /** Resolves once the gate is open. */
  whenOpen(): Promise<void> {
    if (!this.isClosed) return Promise.resolve();
    return new Promise((resolve) => this.waiting.push(resolve));
  }
}
