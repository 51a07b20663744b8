/**
 * Decides which requests a process holds that a caller sent ahead, before the answers to its
 * earlier ones on the same connection.
 *
 * Answers go out in the order of the requests, so a request that is begun before its turn makes
 * a process hold its answer, and loses it if an earlier answer ends the connection.
 */

/** Most requests that are held of one connection. */
export const MAX_HELD_REQUESTS = 8;

/** What Node.js 20 needs for a request and its answer beside the bytes of the request. */
export const HELD_REQUEST_OVERHEAD_BYTES = 6_000;

/** Bytes that are read at a time: no more of a body is read before its request is begun. */
const READ_BYTES = 64 * 1024;

/** Share of the memory of a process that held requests may take. */
const HELD_REQUEST_MEMORY_SHARE = 1 / 50;
const BYTES_PER_MB = 1e6;

/** The requests of one connection that are held. */
export interface RequestLine {
  readonly heldRequests: number;
  readonly heldBytes: number;
}

interface LineState extends RequestLine {
  heldRequests: number;
  heldBytes: number;
}

/** Returns the bound on what a process holds of requests that were sent ahead. */
export function heldRequestsLimitBytes(memoryMb: number): number {
  return Math.floor(memoryMb * BYTES_PER_MB * HELD_REQUEST_MEMORY_SHARE);
}

/**
 * Returns what a request takes while it is held.
 *
 * @param bodyBytes undefined if the request doesn't tell.
 */
export function heldRequestBytes(
  headBytes: number,
  bodyBytes: number | undefined,
): number {
  const readBodyBytes = Math.min(bodyBytes ?? READ_BYTES, READ_BYTES);
  return HELD_REQUEST_OVERHEAD_BYTES + headBytes + readBodyBytes;
}

/** The requests that a process holds, by connection. */
export class HeldRequests {
  private sumBytes = 0;

  /** @param limitBytes evaluated at each use, since a reload of the settings may change it. */
  constructor(private readonly limitBytes: () => number) {}

  get totalBytes(): number {
    return this.sumBytes;
  }

  /** The line of a connection, without requests. */
  open(): RequestLine {
    return {heldRequests: 0, heldBytes: 0};
  }

  /** Returns whether one more request is held, and counts it then. */
  hold(line: RequestLine, bytes: number): boolean {
    if (line.heldRequests >= MAX_HELD_REQUESTS) return false;
    if (this.sumBytes + bytes > this.limitBytes()) return false;
    this.add(line as LineState, 1, bytes);
    return true;
  }

  /** The first request of the line is begun. */
  release(line: RequestLine, bytes: number): void {
    this.add(line as LineState, -1, -bytes);
  }

  /** The connection has ended, with all that was held of it. */
  close(line: RequestLine): void {
    this.add(line as LineState, -line.heldRequests, -line.heldBytes);
  }

  private add(line: LineState, requests: number, bytes: number): void {
    line.heldRequests += requests;
    line.heldBytes += bytes;
    this.sumBytes += bytes;
  }
}
