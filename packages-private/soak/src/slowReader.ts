import type {Random} from '@lilacledge/shared';

/** Body of a request whose answer has large events, so that it exceeds the connections' buffers. */
export const SLOW_BODY = 'slow prompt';

/** Filler of each of these events; loopback connections buffer some MB. */
export const PADDING_BYTES = 64 * 1024;

const FILLER = 'x'.repeat(PADDING_BYTES);

const MIN_EVENTS = 60;
const MAX_EVENTS = 110;

/** Share of these callers that never read. */
const NEVER_SHARE = 0.2;

/** Longest time until the others read; with the work it is within the deadline of 5 s. */
const MAX_PAUSE_MS = 1_000;

/**
 * Bounds of the pause after each chunk of up to 64 KiB. An engine makes one in 5 ms, so that events
 * are still held when most answers end.
 */
const MIN_CHUNK_PAUSE_MS = 10;
const MAX_CHUNK_PAUSE_MS = 16;

/** A caller that never reads leaves after this time; its answer has been cut off before. */
const LEAVES_AFTER_MS = 8_000;

/** How one draft is requested and read. */
export interface SlowRead {
  readonly events: number;
  /** Infinity for a caller that never reads. */
  readonly readsAfterMs: number;
  readonly chunkPauseMs: number;
  readonly leavesAfterMs: number;
}

export function drawSlowRead(random: Random): SlowRead {
  const isNever = random() < NEVER_SHARE;
  const events = MIN_EVENTS + Math.floor(random() * (MAX_EVENTS - MIN_EVENTS));
  return {
    events,
    readsAfterMs: isNever ? Infinity : Math.round(random() * MAX_PAUSE_MS),
    chunkPauseMs: Math.round(
      MIN_CHUNK_PAUSE_MS + random() * (MAX_CHUNK_PAUSE_MS - MIN_CHUNK_PAUSE_MS),
    ),
    leavesAfterMs: LEAVES_AFTER_MS,
  };
}

/** The answer without the filler of its events, which would fill the memory of the soak. */
export function withoutFiller(body: string): string {
  return body.replaceAll(FILLER, '');
}
