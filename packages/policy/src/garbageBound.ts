/**
 * Decides when a process asks for a garbage collection. The engine frees the memory of buffers
 * late, up to 64 MB of it, as it sees only small objects.
 */

/** Bytes of chunks that are read between two collections of young objects. */
export const READ_BETWEEN_COLLECTIONS_BYTES = 1_000_000;

/** All objects are collected from this share of what may be held in dead buffers on. */
const DEAD_SHARE = 0.25;
const MIN_DEAD_LIMIT_BYTES = 1_500_000;

/** A chunk below this size is a part of usual load, which the engine bounds by itself. */
export const MIN_NOTED_BYTES = 4 * 1024;

/** Text below this size is collected with the young objects. */
const MIN_NOTED_TEXT_BYTES = 64 * 1024;

/** Bytes of decoded text between two collections of all objects, as none is seen as a buffer. */
const TEXT_BETWEEN_COLLECTIONS_BYTES = 1_000_000;

/** The garbage collector of the process. */
export interface Collector {
  /** Collects young objects, in less than a millisecond. */
  collectYoung(): void;
  /** Collects all objects, in about ten milliseconds. */
  collectAll(): void;
  /** Memory of all buffers, dead ones included. */
  bufferBytes(): number;
  /** Memory of all objects on the heap, dead ones included. */
  heapBytes(): number;
}

/** Bounds the memory of dead buffers by what is read. */
export class GarbageBound {
  private readBytes = 0;
  private textBytes = 0;
  /** Memory of buffers that are in use and not counted as held. */
  private uncountedBytes = Number.NEGATIVE_INFINITY;

  /**
   * @param collector undefined where the process may not collect.
   * @param heldBytes what is held in buffers now.
   * @param limitBytes bound on what is held.
   */
  constructor(
    private readonly collector: Collector | undefined,
    private readonly heldBytes: () => number,
    private readonly limitBytes: () => number,
  ) {}

  /** Notes a chunk of a body or an answer that was read into a buffer of its own. */
  noteRead(bytes: number): void {
    if (bytes < MIN_NOTED_BYTES) return;
    this.readBytes += bytes;
    if (this.readBytes < READ_BETWEEN_COLLECTIONS_BYTES) return;
    this.readBytes = 0;
    this.collect();
  }

  /**
   * Notes a text that was decoded and is no longer held. With its chunks and what was decoded
   * it takes several times its size on the heap.
   */
  noteDecoded(bytes: number): void {
    if (bytes < MIN_NOTED_TEXT_BYTES) return;
    this.textBytes += bytes;
    if (this.textBytes < TEXT_BETWEEN_COLLECTIONS_BYTES) return;
    this.textBytes = 0;
    this.collector?.collectAll();
  }

  private collect(): void {
    const {collector} = this;
    if (collector === undefined) return;
    collector.collectYoung();
    const otherBytes = this.otherBytes(collector);
    if (otherBytes - this.uncountedBytes <= this.deadLimitBytes) {
      // Less is in use than before: dead buffers must not take its place.
      this.uncountedBytes = Math.min(this.uncountedBytes, otherBytes);
      return;
    }
    collector.collectAll();
    this.uncountedBytes = this.otherBytes(collector);
  }

  private get deadLimitBytes(): number {
    return Math.max(this.limitBytes() * DEAD_SHARE, MIN_DEAD_LIMIT_BYTES);
  }

  private otherBytes(collector: Collector): number {
    return collector.bufferBytes() - this.heldBytes();
  }
}
