/** Signals that stop a process, or tell it to read its settings again. */
export const HANDLED_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;
export type HandledSignal = (typeof HANDLED_SIGNALS)[number];

/** Where signals come from, as `process` is. */
export interface SignalSource {
  on(signal: HandledSignal, handler: () => void): unknown;
}

/**
 * Takes signals from the first moment on. One that comes before a process is ready for it would
 * end it by default; here it is kept until its handler is there.
 */
export class EarlySignals {
  private readonly handlers = new Map<HandledSignal, () => void>();
  private readonly pending = new Set<HandledSignal>();

  constructor(source: SignalSource) {
    for (const signal of HANDLED_SIGNALS) {
      source.on(signal, () => this.take(signal));
    }
  }

  /** Calls `handler` at each such signal, and now if one came before. */
  on(signal: HandledSignal, handler: () => void): void {
    this.handlers.set(signal, handler);
    if (this.pending.delete(signal)) handler();
  }

  private take(signal: HandledSignal): void {
    const handler = this.handlers.get(signal);
    if (handler === undefined) this.pending.add(signal);
    else handler();
  }
}
