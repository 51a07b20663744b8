/**
 * A send to an endpoint whose fate is open: its bytes may still arrive. They may arrive long after
 * its caller was answered, as when a network heals or a suspended process goes on.
 */
export class OpenSend {
  private isSettled = false;
  private abandonedMs: number | undefined;

  constructor(
    readonly sentMs: number,
    /** Called once with the time until which the send arrived, if it did. */
    private readonly onSettled: (arrivedByMs: number) => void = () => {},
  ) {}

  get isOpen(): boolean {
    return !this.isSettled;
  }

  /** When this side gave up its connection; undefined while it waits for the answer. */
  get abandonedAtMs(): number | undefined {
    return this.abandonedMs;
  }

  /** This side has given up the connection, without knowing what the endpoint got of it. */
  abandon(nowMs: number): void {
    this.abandonedMs ??= nowMs;
  }

  /** The send has arrived by this time, or it never will. */
  settle(arrivedByMs: number): void {
    if (this.isSettled) return;
    this.isSettled = true;
    this.onSettled(arrivedByMs);
  }
}
