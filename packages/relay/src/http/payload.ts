import {CHUNK_OVERHEAD_BYTES} from '@lilacledge/policy';

/** A body as it was read, in order: joining the chunks would need its size a second time. */
export type Payload = Buffer | readonly Buffer[];

/** Shorter chunks are joined, as each costs more than its bytes. */
const MIN_CHUNK_BYTES = 4 * 1024;

const NO_BYTES = Buffer.alloc(0);

export function payloadChunks(payload: Payload): readonly Buffer[] {
  return Buffer.isBuffer(payload) ? [payload] : payload;
}

export function payloadBytes(payload: Payload): number {
  if (Buffer.isBuffer(payload)) return payload.length;
  return payload.reduce((sum, {length}) => sum + length, 0);
}

/** Collects the chunks of a payload; short ones after the first share blocks. */
export class PayloadBuilder {
  bytes = 0;
  private chunks: Buffer[] = [];
  private block = NO_BYTES;
  private blockBytes = 0;

  /** Returns by how much this raises what is held, with overhead. */
  add(chunk: Buffer): number {
    this.bytes += chunk.length;
    if (this.fillBlock(chunk)) return 0;
    this.closeBlock();
    const isShort = chunk.length < MIN_CHUNK_BYTES;
    if (!isShort || this.chunks.length === 0) {
      this.chunks.push(chunk);
      return chunk.length + CHUNK_OVERHEAD_BYTES;
    }
    this.block = Buffer.allocUnsafeSlow(MIN_CHUNK_BYTES);
    this.fillBlock(chunk);
    return MIN_CHUNK_BYTES + CHUNK_OVERHEAD_BYTES;
  }

  /** Returns what was collected. */
  finish(): Payload {
    this.closeBlock();
    const {chunks} = this;
    if (chunks.length === 0) return NO_BYTES;
    return chunks.length === 1 ? chunks[0]! : chunks;
  }

  /** Drops what was collected. */
  clear(): void {
    this.chunks = [];
    this.block = NO_BYTES;
    this.blockBytes = 0;
  }

  private fillBlock(chunk: Buffer): boolean {
    if (this.blockBytes + chunk.length > this.block.length) return false;
    this.blockBytes += chunk.copy(this.block, this.blockBytes);
    return true;
  }

  private closeBlock(): void {
    const {block, blockBytes} = this;
    if (blockBytes > 0) this.chunks.push(block.subarray(0, blockBytes));
    this.block = NO_BYTES;
    this.blockBytes = 0;
  }
}
