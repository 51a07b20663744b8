import type {Collector} from './garbageBound.js';

/**
 * Decides when a process collects the objects of closed connections. Those that outlive the
 * collections of young objects stay until the engine sees a need, which knows no bound but that of
 * the heap.
 */

/** Share of the memory of a process by which its heap may grow between two collections. */
const HEAP_GROWTH_SHARE = 1 / 50;
const BYTES_PER_MB = 1e6;

/** The heap is checked once in so many closed connections. */
const CONNECTIONS_BETWEEN_CHECKS = 32;

/** Returns by how much the heap of a process may grow between two collections. */
export function heapGrowthLimitBytes(memoryMb: number): number {
  return memoryMb * BYTES_PER_MB * HEAP_GROWTH_SHARE;
}

/** Bounds the growth of the heap by dead objects of connections. */
export class HeapBound {
  private connections = 0;
  /** The smallest heap since the last collection. */
  private smallestBytes = Number.POSITIVE_INFINITY;

  /**
   * @param collector undefined where the process may not collect.
   * @param limitBytes by how much the heap may grow.
   */
  constructor(
    private readonly collector: Collector | undefined,
    private readonly limitBytes: () => number,
  ) {}

  noteConnectionClosed(): void {
    this.connections++;
    if (this.connections < CONNECTIONS_BETWEEN_CHECKS) return;
    this.connections = 0;
    this.check();
  }

  private check(): void {
    const {collector} = this;
    if (collector === undefined) return;
    const heapBytes = collector.heapBytes();
    if (heapBytes - this.smallestBytes <= this.limitBytes()) {
      this.smallestBytes = Math.min(this.smallestBytes, heapBytes);
      return;
    }
    collector.collectAll();
    this.smallestBytes = collector.heapBytes();
  }
}
