/** Signals that stop a process or make it reload its settings. */
export const HANDLED_SIGNALS = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;
export type HandledSignal = (typeof HANDLED_SIGNALS)[number];

/** Emitter of signals; `process` is one. */
export interface SignalSource {
  on(signal: HandledSignal, handler: () => void): unknown;
}

/**
 * Handles signals from the start of a process on, as their default action would end it. A
 * signal that arrives before its handler is registered is kept for that handler.
 */
export class EarlySignals {
  private readonly handlers = new Map<HandledSignal, () => void>();
  private readonly pending = new Set<HandledSignal>();

  constructor(source: SignalSource) {
    for (const signal of HANDLED_SIGNALS) {
      source.on(signal, () => this.handle(signal));
    }
  }

  /** Calls `handler` for each such signal, and once now if any arrived before. */
  on(signal: HandledSignal, handler: () => void): void {
    this.handlers.set(signal, handler);
    if (this.pending.delete(signal)) handler();
  }

  private handle(signal: HandledSignal): void {
    const handler = this.handlers.get(signal);
    if (handler === undefined) this.pending.add(signal);
    else handler();
  }
}
