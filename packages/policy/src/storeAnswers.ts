/**
 * Decides how large an answer of the store a process reads. An answer takes several times its
 * size while it is decoded, and a watch answers with all changes since the last one.
 */

const BYTES_PER_MB = 1e6;

/** An answer of this share takes up to a fifth of the memory while it is decoded. */
const MEMORY_SHARE = 1 / 32;

/** Fits a page of the store with a value of the largest size, 1 MiB, beside a full one. */
const MIN_ANSWER_BYTES = 3e6;

const MAX_ANSWER_BYTES = 32 * 1024 * 1024;

/** Returns the largest answer that a process reads; what a larger one has is read in pages. */
export function storeAnswerLimitBytes(memoryMb: number): number {
  const shareBytes = Math.floor(memoryMb * BYTES_PER_MB * MEMORY_SHARE);
  return Math.min(MAX_ANSWER_BYTES, Math.max(MIN_ANSWER_BYTES, shareBytes));
}
