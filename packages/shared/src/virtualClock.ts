import type {CancelTimer, Clock} from './clock.js';

interface Timer {
  readonly dueMs: number;
  readonly order: number;
  readonly task: () => void;
  cancelled: boolean;
}

/**
 * A clock that only moves when it is advanced, for tests and simulations. Timers that are
 * due at the same time run in the order in which they were set.
 */
export class VirtualClock implements Clock {
  private timeMs = 0;
  private order = 0;
  private readonly heap: Timer[] = [];

  constructor(private readonly originWallMs = 1_800_000_000_000) {}

  nowMs(): number {
    return this.timeMs;
  }

  wallMs(): number {
    return this.originWallMs + Math.floor(this.timeMs);
  }

  after(delayMs: number, task: () => void): CancelTimer {
    const timer: Timer = {
      dueMs: this.timeMs + Math.max(0, delayMs),
      order: this.order++,
      task,
      cancelled: false,
    };
    this.push(timer);
    return () => {
      timer.cancelled = true;
    };
  }

  /** Runs all timers due within `durationMs`, and pending promise reactions in between. */
  async advance(durationMs: number): Promise<void> {
    const endMs = this.timeMs + durationMs;
    await runPendingPromises();
    for (;;) {
      const next = this.heap[0];
      if (next === undefined || next.dueMs > endMs) break;
      this.runTimersDueAt(next.dueMs);
      await runPendingPromises();
    }
    this.timeMs = endMs;
  }

  /** Advances until `done` returns true; throws after `limitMs` of virtual time. */
  async advanceUntil(done: () => boolean, limitMs = 600_000): Promise<void> {
    const endMs = this.timeMs + limitMs;
    await runPendingPromises();
    while (!done()) {
      const next = this.heap[0];
      if (next === undefined || next.dueMs > endMs) {
        throw new Error(`condition not reached within ${limitMs} ms`);
      }
      this.runTimersDueAt(next.dueMs);
      await runPendingPromises();
    }
  }

  private runTimersDueAt(dueMs: number): void {
    this.timeMs = Math.max(this.timeMs, dueMs);
    while (this.heap.length > 0 && this.heap[0]!.dueMs <= dueMs) {
      const timer = this.pop();
      if (!timer.cancelled) timer.task();
    }
  }

  private push(timer: Timer): void {
    const heap = this.heap;
    let index = heap.push(timer) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (isBefore(heap[parent]!, timer)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = timer;
  }

  private pop(): Timer {
    const heap = this.heap;
    const top = heap[0]!;
    const last = heap.pop()!;
    if (heap.length > 0) this.siftDown(last);
    return top;
  }

  private siftDown(timer: Timer): void {
    const heap = this.heap;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      const right = heap[child + 1];
      if (right !== undefined && isBefore(right, heap[child]!)) child++;
      if (isBefore(timer, heap[child]!)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = timer;
  }
}

function isBefore(a: Timer, b: Timer): boolean {
  return a.dueMs < b.dueMs || (a.dueMs === b.dueMs && a.order < b.order);
}

/** Resolves in a macrotask, which runs after all promise reactions that are ready. */
function runPendingPromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
