import type {CancelTimer, VirtualClock} from '@lilacledge/shared';

/** Bytes of one connection in flight at a time; stands for a small TCP window. */
const CHUNK_BYTES = 16 * 1024;

/** Receives the progress of a transfer over a link. */
export interface TransferListener {
  /** Called after each chunk. */
  onProgress?(): void;
  /** Called once with the time from the first byte to the last. */
  onComplete(tookMs: number): void;
}

/** An instance's network link on the virtual clock; all its connections share the bandwidth. */
export class SlowLink {
  private freeAtMs = 0;
  /** Bytes of all transfers so far. */
  receivedBytes = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly bytesPerMs: number,
  ) {}

  /** Transfers an answer; the returned function cancels the transfer. */
  receive(bytes: number, arrival: TransferListener): CancelTimer {
    const startMs = this.clock.nowMs();
    let leftBytes = bytes;
    let cancel: CancelTimer = () => {};
    const next = (): void => {
      if (leftBytes <= 0) {
        arrival.onComplete(this.clock.nowMs() - startMs);
        return;
      }
      const chunkBytes = Math.min(CHUNK_BYTES, leftBytes);
      leftBytes -= chunkBytes;
      const beginsMs = Math.max(this.freeAtMs, this.clock.nowMs());
      this.freeAtMs = beginsMs + chunkBytes / this.bytesPerMs;
      cancel = this.clock.after(this.freeAtMs - this.clock.nowMs(), () => {
        this.receivedBytes += chunkBytes;
        arrival.onProgress?.();
        next();
      });
    };
    next();
    return () => cancel();
  }
}
