import {hash32} from '@lilacledge/shared';
import type {Clock} from '@lilacledge/shared';

/** Block size, close to the block size of the engines' prefix caches. */
const BLOCK_CHARS = 256;
const CHARS_PER_TOKEN = 4;

/** Blocks of a prompt that are hashed. */
const MAX_HASHED_BLOCKS = 32;

/** Blocks stored for each endpoint. */
const MAX_STORED_BLOCKS = 2_048;

/** After this time the engine has probably evicted a block. */
const HINT_TTL_MS = 120_000;

/** Chained hashes of the blocks at the start of a prompt. */
export function prefixBlocks(prompt: string): number[] {
  const blocks: number[] = [];
  let chain = 0;
  const endOfPrompt = Math.min(prompt.length, MAX_HASHED_BLOCKS * BLOCK_CHARS);
  for (let end = BLOCK_CHARS; end <= endOfPrompt; end += BLOCK_CHARS) {
    chain = hash32(`${chain}|${prompt.slice(end - BLOCK_CHARS, end)}`);
    blocks.push(chain);
  }
  return blocks;
}

/**
 * Estimates which blocks an endpoint's engine has cached, from the prompts that this
 * entry sent to it recently. Engines do not report evictions in time, so the estimate
 * is only a hint, and it expires.
 */
export class PrefixHints {
  private readonly blockSentAtMs = new Map<number, number>();

  constructor(private readonly clock: Clock) {}

  /** Records the blocks of a prompt that was sent to the endpoint. */
  note(blocks: readonly number[]): void {
    const nowMs = this.clock.nowMs();
    for (const block of blocks) {
      this.blockSentAtMs.delete(block);
      this.blockSentAtMs.set(block, nowMs);
    }
    for (const block of this.blockSentAtMs.keys()) {
      if (this.blockSentAtMs.size <= MAX_STORED_BLOCKS) return;
      this.blockSentAtMs.delete(block);
    }
  }

  /** Prompt tokens that are probably cached. */
  cachedTokens(blocks: readonly number[]): number {
    const oldestMs = this.clock.nowMs() - HINT_TTL_MS;
    let cachedBlocks = 0;
    for (const block of blocks) {
      const sentMs = this.blockSentAtMs.get(block);
      if (sentMs === undefined || sentMs < oldestMs) break;
      cachedBlocks++;
    }
    return (cachedBlocks * BLOCK_CHARS) / CHARS_PER_TOKEN;
  }
}
