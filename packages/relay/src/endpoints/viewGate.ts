import type {CancelTimer, Clock} from '@lilacledge/shared';

/** A store that is there answers within this time, also when it is slow. */
const LONGEST_WAIT_MS = 1_000;

/**
 * Holds sends while what this process knows of endpoints may be too old: it was suspended,
 * and the store has not answered since. Callers wait some milliseconds for it; where the
 * store is away, the process goes on with what it knows, as in any outage.
 */
export class ViewGate {
  private isClosed = false;
  private closedAtMs = 0;
  private cancelEnd: CancelTimer = () => {};
  private waiting: Array<() => void> = [];

  constructor(private readonly clock: Clock) {}

  get isOpen(): boolean {
    // The first look at the time after a suspension is what shows it.
    this.clock.nowMs();
    return !this.isClosed;
  }

  /** Closes it, or keeps it closed from now on: one suspension may follow another. */
  close(): void {
    this.isClosed = true;
    this.closedAtMs = this.clock.nowMs();
    this.cancelEnd();
    this.cancelEnd = this.clock.after(LONGEST_WAIT_MS, () => this.open());
  }

  /** The store answered a call of `sentMs`; an older one may have waited on its socket. */
  noteAnswered(sentMs: number): void {
    if (this.isClosed && sentMs >= this.closedAtMs) this.open();
  }

  open(): void {
    this.isClosed = false;
    this.cancelEnd();
    const {waiting} = this;
    this.waiting = [];
    for (const resolve of waiting) resolve();
  }

  /** Resolves once it is open. */
  opened(): Promise<void> {
    if (!this.isClosed) return Promise.resolve();
    return new Promise((resolve) => this.waiting.push(resolve));
  }
}
