import {hash32} from '@lilacledge/shared';
import type {Clock} from '@lilacledge/shared';

/** Characters of one block; engines cache prompts in blocks of about this. */
const BLOCK_CHARS = 256;
const CHARS_PER_TOKEN = 4;

/** Blocks of a prompt that are looked at. */
const MAX_BLOCKS = 32;

/** Blocks remembered for each endpoint. */
const MAX_REMEMBERED = 2_048;

/** What was sent longer ago has probably been evicted. */
const HINT_LIFE_MS = 120_000;

/** The chained hashes of the blocks at the start of a prompt. */
export function prefixBlocks(prompt: string): number[] {
  const blocks: number[] = [];
  let chain = 0;
  const endOfPrompt = Math.min(prompt.length, MAX_BLOCKS * BLOCK_CHARS);
  for (let end = BLOCK_CHARS; end <= endOfPrompt; end += BLOCK_CHARS) {
    chain = hash32(`${chain}|${prompt.slice(end - BLOCK_CHARS, end)}`);
    blocks.push(chain);
  }
  return blocks;
}

/**
 * What one entry believes an endpoint's engine to have cached: the blocks that
 * it sent there of late. Engines evict without saying so in time, so this is a
 * hint that ends by itself, never more.
 */
export class PrefixHints {
  private readonly sentMs = new Map<number, number>();

  constructor(private readonly clock: Clock) {}

  /** Notes a prompt that was sent to the endpoint. */
  note(blocks: readonly number[]): void {
    const nowMs = this.clock.nowMs();
    for (const block of blocks) {
      this.sentMs.delete(block);
      this.sentMs.set(block, nowMs);
    }
    for (const block of this.sentMs.keys()) {
      if (this.sentMs.size <= MAX_REMEMBERED) return;
      this.sentMs.delete(block);
    }
  }

  /** Prompt tokens that are probably cached. */
  cachedTokens(blocks: readonly number[]): number {
    const oldestMs = this.clock.nowMs() - HINT_LIFE_MS;
    let known = 0;
    for (const block of blocks) {
      const sentMs = this.sentMs.get(block);
      if (sentMs === undefined || sentMs < oldestMs) break;
      known++;
    }
    return (known * BLOCK_CHARS) / CHARS_PER_TOKEN;
  }
}
