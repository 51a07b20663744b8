import {performance} from 'node:perf_hooks';
import type {EventLoopUtilization} from 'node:perf_hooks';

/** What the event loop of this process did in a span of time. */
export interface LoopUse {
  readonly forMs: number;
  /**
   * Share of the time in which the loop did not wait for events, 0 to 1. Time for which the
   * system held the process back counts as used.
   */
  readonly utilisation: number;
  /** Mean time of an iteration without its waiting, for which an event waits at most. */
  readonly iterationMs: number;
}

/** Measures the event loop between two readings. */
export class LoopMeter {
  private lastUse: EventLoopUtilization = performance.eventLoopUtilization();
  private lastCount = loopCount();

  /** Returns the use since the last reading. */
  read(): LoopUse {
    const use = performance.eventLoopUtilization();
    const count = loopCount();
    const activeMs = use.active - this.lastUse.active;
    const forMs = activeMs + use.idle - this.lastUse.idle;
    const iterations = Math.max(1, count - this.lastCount);
    this.lastUse = use;
    this.lastCount = count;
    return {
      forMs,
      utilisation: forMs > 0 ? activeMs / forMs : 0,
      iterationMs: activeMs / iterations,
    };
  }
}

/** Time for which the event loop has waited for events so far. */
export function loopIdleMs(): number {
  return performance.eventLoopUtilization().idle;
}

/** Iterations of the event loop so far; constant where the runtime does not count them. */
function loopCount(): number {
  const {nodeTiming} = performance;
  return (
    (nodeTiming as Partial<typeof nodeTiming>).uvMetricsInfo?.loopCount ?? 0
  );
}
