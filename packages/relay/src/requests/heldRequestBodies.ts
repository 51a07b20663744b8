import {BODY_CHECK_INTERVAL_MS, HeldBodies} from '@lilacledge/policy';
import type {HeldBody} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';

/** The request bodies held by this process. */
export class HeldRequestBodies {
  private readonly bytes: HeldBodies;
  private readonly giveUpOf = new Map<HeldBody, () => void>();
  private cancelCheck: (() => void) | undefined;

  /** @param limitBytes bound on the bytes held by this process. */
  constructor(
    private readonly clock: Clock,
    limitBytes: () => number,
  ) {
    this.bytes = new HeldBodies(limitBytes);
  }

  get totalBytes(): number {
    return this.bytes.totalBytes;
  }

  /** Whether a body of a stated size has room if it goes on to arrive. */
  hasRoomFor(statedBytes: number): boolean {
    return this.bytes.hasRoomFor(statedBytes);
  }

  /**
   * @param giveUp called when the body lacks room, after it was closed.
   * @param isRead whether its connection is read now.
   */
  open(giveUp: () => void, isRead: () => boolean): HeldBody {
    const body = this.bytes.open(isRead);
    this.giveUpOf.set(body, giveUp);
    return body;
  }

  add(body: HeldBody, bytes: number): void {
    for (const givenUp of this.bytes.add(body, bytes)) {
      const giveUp = this.giveUpOf.get(givenUp);
      this.giveUpOf.delete(givenUp);
      giveUp?.();
    }
    this.scheduleCheck();
  }

  /** Declares that the body has arrived, so that it is not given up. */
  complete(body: HeldBody): void {
    this.giveUpOf.delete(body);
    this.bytes.complete(body);
  }

  close(body: HeldBody): void {
    this.giveUpOf.delete(body);
    this.bytes.close(body);
  }

  private scheduleCheck(): void {
    if (this.cancelCheck !== undefined || !this.bytes.needsChecks) return;
    this.cancelCheck = this.clock.after(BODY_CHECK_INTERVAL_MS, () => {
      this.cancelCheck = undefined;
      this.bytes.check();
      this.scheduleCheck();
    });
  }
}
