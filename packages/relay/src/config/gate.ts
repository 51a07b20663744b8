/** Lets calls begin while it is open; closing it ends those that are under way. */
export class Gate {
  private closing = new AbortController();
  private waiting: Array<() => void> = [];

  get isClosed(): boolean {
    return this.closing.signal.aborted;
  }

  /** Aborted when the gate closes. */
  get signal(): AbortSignal {
    return this.closing.signal;
  }

  close(): void {
    this.closing.abort();
  }

  open(): void {
    if (!this.isClosed) return;
    this.closing = new AbortController();
    const passing = this.waiting;
    this.waiting = [];
    for (const pass of passing) pass();
  }

  /** Resolves once the gate is open. */
  passed(): Promise<void> {
    if (!this.isClosed) return Promise.resolve();
    return new Promise((resolve) => this.waiting.push(resolve));
  }
}
