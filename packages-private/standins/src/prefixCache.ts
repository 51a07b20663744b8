import {hash32} from '@lilacledge/shared';

/**
 * A cached block is 256 characters, which is 64 tokens at four characters per
 * token.
 */
const BLOCK_CHARS = 256;
const BLOCK_TOKENS = 64;

/**
 * A bounded cache of prompt prefixes in blocks, with least-recently-used
 * eviction.
 */
export class PrefixCache {
  private readonly blocks = new Set<number>();
  private readonly maxBlocks: number;

  constructor(cacheTokens: number) {
    this.maxBlocks = Math.floor(cacheTokens / BLOCK_TOKENS);
  }

  /**
   * Returns how many tokens of `prompt` are cached as a prefix, and caches all
   * its blocks.
   */
  countHitsAndAdd(prompt: string): number {
    let hitBlocks = 0;
    let isHit = true;
    let prefixHash = 0;
    for (let end = BLOCK_CHARS; end <= prompt.length; end += BLOCK_CHARS) {
      prefixHash = hash32(
        `${prefixHash}|${prompt.slice(end - BLOCK_CHARS, end)}`,
      );
      isHit &&= this.blocks.delete(prefixHash);
      if (isHit) hitBlocks++;
      this.blocks.delete(prefixHash);
      this.blocks.add(prefixHash);
    }
    this.evict();
    return hitBlocks * BLOCK_TOKENS;
  }

  private evict(): void {
    for (const block of this.blocks) {
      if (this.blocks.size <= this.maxBlocks) return;
      this.blocks.delete(block);
    }
  }
}
