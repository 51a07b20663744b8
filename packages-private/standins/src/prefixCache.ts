import {hash32} from '@lilacledge/shared';

/** Characters of one cached block; at four characters a token, 64 tokens. */
const BLOCK_CHARS = 256;
const BLOCK_TOKENS = 64;

/** A bounded cache of prompt prefixes, in blocks, least recently used out. */
export class PrefixCache {
  private readonly blocks = new Set<number>();
  private readonly maxBlocks: number;

  constructor(cacheTokens: number) {
    this.maxBlocks = Math.floor(cacheTokens / BLOCK_TOKENS);
  }

  /** Tokens of `prompt` that are cached; caches the rest. */
  use(prompt: string): number {
    let hits = 0;
    let isHit = true;
    let chain = 0;
    for (let end = BLOCK_CHARS; end <= prompt.length; end += BLOCK_CHARS) {
      chain = hash32(`${chain}|${prompt.slice(end - BLOCK_CHARS, end)}`);
      isHit &&= this.blocks.delete(chain);
      if (isHit) hits++;
      this.blocks.delete(chain);
      this.blocks.add(chain);
    }
    this.evict();
    return hits * BLOCK_TOKENS;
  }

  private evict(): void {
    for (const block of this.blocks) {
      if (this.blocks.size <= this.maxBlocks) return;
      this.blocks.delete(block);
    }
  }
}
