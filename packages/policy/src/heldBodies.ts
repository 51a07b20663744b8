import {SMALL_PAYLOAD_BYTES} from './payloadLimits.js';

/**
 * Decides which request bodies a process goes on holding. A body is needed whole before it can
 * be sent, so one that has no room is refused rather than paused: paused ones would wait for
 * each other.
 */

/** Share of the bound that only small bodies may fill. */
const SMALL_RESERVE_SHARE = 0.25;

/** A body may hold this many times what is still free, so that the largest are refused first. */
const FREE_FACTOR = 4;

/**
 * How often bodies are checked for progress. Checks are counted instead of time, since a
 * process that was suspended must not attribute that time to its callers.
 */
export const BODY_CHECK_INTERVAL_MS = 250;

/** A body that progresses less between two checks counts as stalled there. */
const MIN_PROGRESS_BYTES = 1024;

/** About a second; the check after the last progress starts the time. */
const CHECKS_WITHOUT_PROGRESS = 4;

/** Bodies are checked from this share of the bound on. */
const CHECKED_FROM_SHARE = 0.25;

/** What is held of one body; changed through `HeldBodies`. */
export interface HeldBody {
  readonly heldBytes: number;
}

interface BodyState extends HeldBody {
  heldBytes: number;
  /** Whether this process reads the body now, so that its caller can make progress. */
  readonly isRead: () => boolean;
  isComplete: boolean;
  bytesAtCheck: number;
  checksWithoutProgress: number;
}

/**
 * The bytes that a process holds of request bodies. A body over a few KiB may hold four times
 * what is still free, so that a new one always finds room beside a few large ones.
 */
export class HeldBodies {
  private readonly bodies = new Set<BodyState>();
  /** Bodies that have not progressed for about a second; given up in favour of others. */
  private readonly stalled = new Set<BodyState>();
  private sumBytes = 0;

  /** @param limitBytes evaluated at each use, since a reload of the settings may change it. */
  constructor(private readonly limitBytes: () => number) {}

  get totalBytes(): number {
    return this.sumBytes;
  }

  /** True if room may become scarce, so that bodies must be checked. */
  get needsChecks(): boolean {
    return this.sumBytes > this.limitBytes() * CHECKED_FROM_SHARE;
  }

  /** Whether a body of a stated size has room if it goes on to arrive. */
  hasRoomFor(statedBytes: number): boolean {
    if (statedBytes <= SMALL_PAYLOAD_BYTES) return true;
    const othersBytes = this.sumBytes - this.stalledBytes();
    return this.isWithinBound(statedBytes, othersBytes + statedBytes);
  }

  /** @param isRead whether this process reads the body now. */
  open(isRead: () => boolean = () => true): HeldBody {
    const body: BodyState = {
      heldBytes: 0,
      isRead,
      isComplete: false,
      bytesAtCheck: 0,
      checksWithoutProgress: 0,
    };
    this.bodies.add(body);
    return body;
  }

  /**
   * Counts bytes of the body as held. Returns the bodies that are given up for lack of room:
   * stalled ones or this one. Nothing of them is counted any more.
   */
  add(held: HeldBody, bytes: number): HeldBody[] {
    const body = this.stateOf(held);
    if (body === undefined) return [];
    body.heldBytes += bytes;
    this.sumBytes += bytes;
    if (this.isWithinBound(body.heldBytes, this.sumBytes)) return [];
    const victims = this.victimsFor(body);
    for (const victim of victims) this.close(victim);
    return victims;
  }

  /** Declares that the body has arrived, so that it is not given up. */
  complete(held: HeldBody): void {
    const body = this.stateOf(held);
    if (body === undefined) return;
    body.isComplete = true;
    this.stalled.delete(body);
  }

  /** Counts nothing of the body any more. */
  close(held: HeldBody): void {
    const body = this.stateOf(held);
    if (body === undefined) return;
    this.bodies.delete(body);
    this.stalled.delete(body);
    this.sumBytes -= body.heldBytes;
  }

  /** Call this every `BODY_CHECK_INTERVAL_MS` while it is needed. */
  check(): void {
    for (const body of this.bodies) {
      if (body.isComplete || !body.isRead()) continue;
      const progressBytes = body.heldBytes - body.bytesAtCheck;
      body.bytesAtCheck = body.heldBytes;
      if (progressBytes >= MIN_PROGRESS_BYTES) {
        body.checksWithoutProgress = 0;
        this.stalled.delete(body);
        continue;
      }
      body.checksWithoutProgress++;
      if (body.checksWithoutProgress >= CHECKS_WITHOUT_PROGRESS) {
        this.stalled.add(body);
      }
    }
  }

  private isWithinBound(heldBytes: number, sumBytes: number): boolean {
    const limitBytes = this.limitBytes();
    if (heldBytes <= SMALL_PAYLOAD_BYTES) return sumBytes <= limitBytes;
    const freeBytes = limitBytes * (1 - SMALL_RESERVE_SHARE) - sumBytes;
    return heldBytes <= freeBytes * FREE_FACTOR;
  }

  /** Stalled bodies, the largest first, if they make room; otherwise the body itself. */
  private victimsFor(body: BodyState): BodyState[] {
    const victims: BodyState[] = [];
    let sumBytes = this.sumBytes;
    const others = [...this.stalled].filter((other) => other !== body);
    others.sort((a, b) => b.heldBytes - a.heldBytes);
    for (const other of others) {
      victims.push(other);
      sumBytes -= other.heldBytes;
      if (this.isWithinBound(body.heldBytes, sumBytes)) return victims;
    }
    return [body];
  }

  private stalledBytes(): number {
    let bytes = 0;
    for (const body of this.stalled) bytes += body.heldBytes;
    return bytes;
  }

  private stateOf(held: HeldBody): BodyState | undefined {
    const body = held as BodyState;
    return this.bodies.has(body) ? body : undefined;
  }
}
