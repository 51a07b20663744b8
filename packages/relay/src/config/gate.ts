/** Lets calls start while it is open; closing it aborts those in flight. */
export class Gate {
  private abortController = new AbortController();
  /** Resolve functions of the pending `whenOpen` calls. */
  private waiting: Array<() => void> = [];

  get isClosed(): boolean {
    return this.abortController.signal.aborted;
  }

  /** Signal for the calls made while open; aborted when the gate closes. */
  get signal(): AbortSignal {
    return this.abortController.signal;
  }

  close(): void {
    this.abortController.abort();
  }

  open(): void {
    if (!this.isClosed) return;
    this.abortController = new AbortController();
    const released = this.waiting;
    this.waiting = [];
    for (const resolve of released) resolve();
  }

  /** Resolves once the gate is open. */
  whenOpen(): Promise<void> {
    if (!this.isClosed) return Promise.resolve();
    return new Promise((resolve) => this.waiting.push(resolve));
  }
}
