/**
 * Decides how many connections of callers a process may have open, from its descriptors and its
 * memory.
 */

/** Descriptors for files, listeners, links to other processes and the store. */
const RESERVED_DESCRIPTORS = 400;

/** The other descriptors are for connections to endpoints, one for each open request. */
const CALLER_DESCRIPTOR_SHARE = 0.75;

/** What Node.js 20 needs for a connection that has had a request, in bytes. */
const CONNECTION_BYTES = 14_000;

/** Share of the memory of a process that connections may take with their unfinished heads. */
const CONNECTION_MEMORY_SHARE = 1 / 12;
const BYTES_PER_MB = 1e6;

/** From this share of the capacity on, answers end their connections. */
const RELEASING_SHARE = 0.9;

/** What a closed connection takes until its objects are collected, in bytes. */
const CLOSED_CONNECTION_BYTES = 5_000;

/** Share of the memory of a process that closed connections may take until then. */
const CLOSED_MEMORY_SHARE = 1 / 16;

/** The objects of closed connections are collected at least this often under load. */
const COLLECTION_MS = 2_000;

/** What bounds the connections of a process. */
export interface ConnectionRoom {
  /** Descriptors that the process may have open; undefined if unknown. */
  readonly fileDescriptors: number | undefined;
  readonly memoryMb: number;
  /** Bytes of an unfinished head that each connection may make the process hold. */
  readonly maxHeaderBytes: number;
}

/** What the capacity of a process follows from. */
export const CapacityBound = {
  DESCRIPTORS: 'descriptors',
  MEMORY: 'memory',
} as const;
export type CapacityBound = (typeof CapacityBound)[keyof typeof CapacityBound];

/** How many connections of callers may be open, and which of its bounds is the lower one. */
export interface ConnectionCapacity {
  readonly connections: number;
  readonly bound: CapacityBound;
}

/** Returns how many connections of callers a process may have open. */
export function connectionCapacity(room: ConnectionRoom): ConnectionCapacity {
  const byDescriptors = descriptorCapacity(room.fileDescriptors);
  const byMemory = memoryCapacity(room);
  return byMemory < byDescriptors
    ? {connections: byMemory, bound: CapacityBound.MEMORY}
    : {connections: byDescriptors, bound: CapacityBound.DESCRIPTORS};
}

/** Returns whether so many connections are open that answers should end theirs. */
export function isNearCapacity(open: number, capacity: number): boolean {
  return open >= RELEASING_SHARE * capacity;
}

/**
 * Limits how fast new connections take the room of others that have no request, as the memory of
 * closed ones is collected late.
 */
export class DisplacementPace {
  private permits = Number.POSITIVE_INFINITY;
  private permitsAtMs = 0;

  /** Returns whether a connection may be displaced now, and counts it then. */
  take(memoryMb: number, nowMs: number): boolean {
    const shareBytes = memoryMb * BYTES_PER_MB * CLOSED_MEMORY_SHARE;
    const mostPermits = Math.max(1, shareBytes / CLOSED_CONNECTION_BYTES);
    const elapsedMs = Math.max(0, nowMs - this.permitsAtMs);
    const gained = (mostPermits * elapsedMs) / COLLECTION_MS;
    this.permits = Math.min(mostPermits, this.permits + gained);
    this.permitsAtMs = nowMs;
    if (this.permits < 1) return false;
    this.permits--;
    return true;
  }
}

function descriptorCapacity(fileDescriptors: number | undefined): number {
  if (fileDescriptors === undefined) return Number.POSITIVE_INFINITY;
  const free = Math.max(0, fileDescriptors - RESERVED_DESCRIPTORS);
  return Math.max(1, Math.floor(free * CALLER_DESCRIPTOR_SHARE));
}

function memoryCapacity({memoryMb, maxHeaderBytes}: ConnectionRoom): number {
  const shareBytes = memoryMb * BYTES_PER_MB * CONNECTION_MEMORY_SHARE;
  const bytes = CONNECTION_BYTES + maxHeaderBytes;
  return Math.max(1, Math.floor(shareBytes / bytes));
}
