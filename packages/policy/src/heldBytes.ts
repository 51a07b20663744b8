/**
 * Decides how many bytes of answers a process holds for callers that read slowly, from which
 * streams it stops reading, and which callers are given up.
 *
 * An engine cuts off an answer that stays unread for some seconds, so a stream is read on while
 * its caller is slow. What is held counts toward the memory of the process, hence the bounds.
 */

/** Bound of one stream; several times what a usual answer takes as a whole. */
export const HELD_STREAM_LIMIT_BYTES = 256 * 1024;

/** Bounds of all streams: a share of the memory of the process, and a number of bytes. */
const PROCESS_MEMORY_SHARE = 1 / 12;
const MAX_PROCESS_BYTES = 32e6;
const BYTES_PER_MB = 1e6;

/**
 * Cost of one held event beside its bytes: Node.js 20 needs 207 bytes of heap for the objects of
 * a buffer, and the allocation of its memory has a header.
 */
export const HELD_EVENT_OVERHEAD_BYTES = 256;

/** A caller that takes nothing for this long at the bound of its stream is given up. */
export const READER_STALL_LIMIT_MS = 4_000;

/**
 * How often callers are checked for progress. Checks are counted instead of time, since a
 * process that was suspended must not attribute that time to its callers.
 */
export const HELD_CHECK_INTERVAL_MS = 500;

/** The first of these checks starts the time. */
const CHECKS_WITHOUT_PROGRESS =
  1 + READER_STALL_LIMIT_MS / HELD_CHECK_INTERVAL_MS;

/** A paused stream resumes at this share of its bound, so that it does not pause at each event. */
const RESUME_SHARE = 0.5;

/** What is held of one stream; changed through `HeldBytes`, but for `isAnswered`. */
export interface HeldStream {
  readonly heldBytes: number;
  /** True while no more of the answer must be read from the engine. */
  readonly isPaused: boolean;
  /** Set once the answer has ended at the engine and only held events are left to send. */
  isAnswered: boolean;
}

interface StreamState extends HeldStream {
  heldBytes: number;
  isPaused: boolean;
  /** Checks in a row that found the stream at its bound and no byte taken. */
  stalledChecks: number;
  /** When the caller stops waiting for its answer. */
  readonly deadlineMs: number;
}

/** Returns the bound on the held bytes of a process from its memory. */
export function heldProcessLimitBytes(memoryMb: number): number {
  const shareBytes = memoryMb * BYTES_PER_MB * PROCESS_MEMORY_SHARE;
  return Math.floor(Math.min(shareBytes, MAX_PROCESS_BYTES));
}

/**
 * The bytes that a process holds, by stream. The bound of a stream is what is still free of the
 * bound of the process, and 256 KiB at most: as the free part shrinks, the streams that hold
 * the most pause first, and the sum never exceeds the bound of the process by more than one
 * event for each stream.
 */
export class HeldBytes {
  private readonly streams = new Set<StreamState>();
  private readonly paused = new Set<StreamState>();
  private sumBytes = 0;

  /** @param limitBytes evaluated at each use, since a reload of the settings may change it. */
  constructor(private readonly limitBytes: () => number) {}

  get totalBytes(): number {
    return this.sumBytes;
  }

  /** Number of streams of which something is held. */
  get streamCount(): number {
    let count = 0;
    for (const stream of this.streams) if (stream.heldBytes > 0) count++;
    return count;
  }

  get isEmpty(): boolean {
    return this.streams.size === 0;
  }

  /** Registers a stream whose caller waits until `deadlineMs`. */
  open(deadlineMs: number): HeldStream {
    const stream: StreamState = {
      heldBytes: 0,
      isPaused: false,
      isAnswered: false,
      stalledChecks: 0,
      deadlineMs,
    };
    this.streams.add(stream);
    return stream;
  }

  /** Counts bytes of the stream as held, which may pause it. */
  add(stream: HeldStream, bytes: number): void {
    const state = this.stateOf(stream);
    if (state === undefined) return;
    if (state.heldBytes === 0) state.stalledChecks = 0;
    state.heldBytes += bytes;
    this.sumBytes += bytes;
    if (state.heldBytes < this.boundBytes) return;
    state.isPaused = true;
    this.paused.add(state);
  }

  /** Counts bytes as taken by the caller. Returns the streams that resume. */
  remove(stream: HeldStream, bytes: number): HeldStream[] {
    const state = this.stateOf(stream);
    if (state === undefined) return [];
    state.stalledChecks = 0;
    state.heldBytes -= bytes;
    this.sumBytes -= bytes;
    return this.resume();
  }

  /** Frees all that is held of the stream. Returns the other streams that resume. */
  close(stream: HeldStream): HeldStream[] {
    const state = this.stateOf(stream);
    if (state === undefined) return [];
    this.streams.delete(state);
    this.paused.delete(state);
    this.sumBytes -= state.heldBytes;
    state.heldBytes = 0;
    return this.resume();
  }

  /** Call this every `HELD_CHECK_INTERVAL_MS`. Returns the streams that must be ended. */
  check(nowMs: number): HeldStream[] {
    const ended: HeldStream[] = [];
    for (const stream of this.streams) {
      const isStalled = this.isAtBound(stream, nowMs);
      stream.stalledChecks = isStalled ? stream.stalledChecks + 1 : 0;
      if (stream.stalledChecks >= CHECKS_WITHOUT_PROGRESS) ended.push(stream);
    }
    return ended;
  }

  /** How many bytes of one stream may be held now. */
  private get boundBytes(): number {
    const freeBytes = this.limitBytes() - this.sumBytes;
    return Math.min(HELD_STREAM_LIMIT_BYTES, freeBytes);
  }

  private isAtBound(stream: StreamState, nowMs: number): boolean {
    if (stream.heldBytes === 0) return false;
    if (stream.isPaused || stream.heldBytes >= this.boundBytes) return true;
    return stream.isAnswered && nowMs >= stream.deadlineMs;
  }

  private resume(): HeldStream[] {
    const resumeBytes = this.boundBytes * RESUME_SHARE;
    const resumed: HeldStream[] = [];
    for (const stream of this.paused) {
      const hasRoom = stream.heldBytes === 0 || stream.heldBytes <= resumeBytes;
      if (!hasRoom) continue;
      stream.isPaused = false;
      this.paused.delete(stream);
      resumed.push(stream);
    }
    return resumed;
  }

  private stateOf(stream: HeldStream): StreamState | undefined {
    const state = stream as StreamState;
    return this.streams.has(state) ? state : undefined;
  }
}
