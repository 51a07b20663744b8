import type {OpenRetry} from './openRetry.js';
import {OpenSend} from './openSend.js';

/**
 * The sends of one request, and its retries whose arrival is still to come. Any of its sends may
 * be the last one to arrive, so a retry stays open while an earlier send is, too.
 */
export class RequestSends {
  private readonly open = new Set<OpenSend>();
  private readonly openRetries: OpenRetry[] = [];
  private begunCount = 0;
  private retryCount = 0;
  private hasEnded = false;
  /** Until when the sends that are no longer open may have arrived. */
  private arrivedByMs = Number.NEGATIVE_INFINITY;

  /** Begins a send; the first one, or one for which a retry was added. */
  begin(nowMs: number): OpenSend {
    const send = new OpenSend(nowMs, (arrivedByMs) => {
      this.open.delete(send);
      this.arrivedByMs = Math.max(this.arrivedByMs, arrivedByMs);
      this.settleRetries();
    });
    this.begunCount++;
    this.open.add(send);
    return send;
  }

  /** Adds a retry that was taken for the next send. */
  addRetry(retry: OpenRetry): void {
    this.retryCount++;
    this.openRetries.push(retry);
  }

  /** The request gets no more sends. */
  end(nowMs: number): void {
    this.hasEnded = true;
    this.arrivedByMs = Math.max(this.arrivedByMs, nowMs);
    this.settleRetries();
  }

  /** Sends whose fate is open. */
  get openCount(): number {
    return this.open.size;
  }

  /** For how long the fate of a send has been open; 0 if it is of none. */
  oldestOpenMs(nowMs: number): number {
    const ages = [...this.open].map(({sentMs}) => nowMs - sentMs);
    return Math.max(0, ...ages);
  }

  /** As many retries can still arrive as sends are open or yet to begin. */
  private settleRetries(): void {
    const toBegin = this.hasEnded
      ? 0
      : Math.max(0, this.retryCount + 1 - this.begunCount);
    while (this.openRetries.length > this.open.size + toBegin) {
      this.openRetries.shift()!.settle(this.arrivedByMs);
    }
  }
}
