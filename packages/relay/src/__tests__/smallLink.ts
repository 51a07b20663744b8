import type {CancelTimer, VirtualClock} from '@lilacledge/shared';

/** What one connection has on its way at a time: windows are small. */
const CHUNK_BYTES = 16 * 1024;

/** An answer that is on its way over a link. */
export interface Arrival {
  /** Called with each part that came. */
  progressed?(): void;
  /** Called once with the time from the first byte to the last. */
  whole(tookMs: number): void;
}

/** An instance's own link on the virtual clock, which all its connections share. */
export class SmallLink {
  private freeAtMs = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly bytesPerMs: number,
  ) {}

  /** Lets an answer come in; the result ends it midway. */
  receive(bytes: number, arrival: Arrival): CancelTimer {
    const startMs = this.clock.nowMs();
    let leftBytes = bytes;
    let cancel: CancelTimer = () => {};
    const next = (): void => {
      if (leftBytes <= 0) {
        arrival.whole(this.clock.nowMs() - startMs);
        return;
      }
      const chunkBytes = Math.min(CHUNK_BYTES, leftBytes);
      leftBytes -= chunkBytes;
      const beginsMs = Math.max(this.freeAtMs, this.clock.nowMs());
      this.freeAtMs = beginsMs + chunkBytes / this.bytesPerMs;
      cancel = this.clock.after(this.freeAtMs - this.clock.nowMs(), () => {
        arrival.progressed?.();
        next();
      });
    };
    next();
    return () => cancel();
  }
}
