/**
 * A send to an endpoint whose fate is open: its bytes may still arrive. They may arrive long after
 * its caller was answered, as when a network heals or a suspended process goes on.
 */
export class OpenSend {
  private arrivedByMs: number | undefined;
  private abandonedMs: number | undefined;

  constructor(
    readonly sentMs: number,
    /** Called once with the time until which the send arrived, if it did. */
    private readonly onSettled: (arrivedByMs: number) => void = () => {},
  ) {}

  get isOpen(): boolean {
    return this.arrivedByMs === undefined;
  }

  /** When this side gave up its connection; undefined while it waits for the answer. */
  get abandonedAtMs(): number | undefined {
    return this.abandonedMs;
  }

  /** The latest time at which the send may have arrived so far. */
  latestArrivalMs(nowMs: number): number {
    if (this.abandonedMs === undefined) return this.sentMs;
    return this.arrivedByMs ?? nowMs;
  }

  /** This side has given up the connection, without knowing what the endpoint got of it. */
  abandon(nowMs: number): void {
    this.abandonedMs ??= nowMs;
  }

  /** The send has arrived by this time, or it never will. */
  settle(arrivedByMs: number): void {
    if (!this.isOpen) return;
    this.arrivedByMs = arrivedByMs;
    this.onSettled(arrivedByMs);
  }
}
