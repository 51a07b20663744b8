/** Weight of the newest outcome in the running share: about ten count. */
const NEWEST_WEIGHT = 0.2;

/**
 * A share of failures from which an endpoint is doubted. Services that answer
 * one call in seven with an error of their own stay well below it.
 */
const DOUBT_SHARE = 0.45;

/** How long an endpoint is avoided at its first doubt, in milliseconds. */
const FIRST_DOUBT_MS = 1_500;

/** Each doubt in a row lasts twice as long, up to the length of an outage. */
const LONGEST_DOUBT_MS = 8_000;

/** Outcomes in a row without a connection or an answer that raise a doubt. */
export const SILENT_LIMIT = 2;

/** What raised a doubt. */
export const DoubtCause = {
  /** Connections were refused or reset: the endpoint itself said so. */
  RESET: 'reset',
  /** Nothing came back; the fault may be on the way there. */
  SILENT: 'silent',
  /** Too many answers were errors or were cut. */
  FAILURES: 'failures',
  /** Another entry raised it. */
  PEER: 'peer',
} as const;
export type DoubtCause = (typeof DoubtCause)[keyof typeof DoubtCause];

/** The endpoint gets work only if no other can, for a time. */
export interface Doubt {
  readonly cause: DoubtCause;
  readonly forMs: number;
}

/** How requests to one endpoint ended, as this process saw it. */
export class OutcomeHealth {
  private failureShare = 0;
  private silentInRow = 0;
  private doubtUntilMs = 0;
  private doubtMs = FIRST_DOUBT_MS;

  constructor(
    private readonly onDoubt: (doubt: Doubt) => void = () => {},
    /** False where no doubt is to be raised; failures still count. */
    private readonly canDoubt = true,
  ) {}

  /** True while the endpoint should get work only if no other can. */
  isDoubted(nowMs: number): boolean {
    return nowMs < this.doubtUntilMs;
  }

  /** Chance of a failure as outcomes show it, 0 to 1. */
  get failureChance(): number {
    return this.failureShare;
  }

  noteSuccess(): void {
    this.failureShare *= 1 - NEWEST_WEIGHT;
    this.silentInRow = 0;
    if (this.failureShare < DOUBT_SHARE / 3) this.doubtMs = FIRST_DOUBT_MS;
  }

  /** The endpoint answered with an error of its own, or broke off. */
  noteFailure(nowMs: number): void {
    this.addFailure();
    if (this.failureShare >= DOUBT_SHARE) {
      this.doubt(nowMs, DoubtCause.FAILURES);
    }
  }

  /**
   * No connection or no answer came at all; `limit` of these in a row raise a
   * doubt.
   */
  noteSilence(nowMs: number, isReset: boolean, limit = SILENT_LIMIT): void {
    this.addFailure();
    this.silentInRow++;
    const isDoubtful =
      this.silentInRow >= limit || this.failureShare >= DOUBT_SHARE;
    if (!isDoubtful) return;
    this.doubt(nowMs, isReset ? DoubtCause.RESET : DoubtCause.SILENT);
  }

  /** Takes another entry's doubt, unless there is one already. */
  takeDoubt(nowMs: number, forMs: number): void {
    if (!this.canDoubt || this.isDoubted(nowMs)) return;
    const ownMs = Math.min(LONGEST_DOUBT_MS, forMs);
    this.doubtUntilMs = nowMs + ownMs;
    // This process's own next doubt goes on where the other's ends.
    this.doubtMs = Math.min(LONGEST_DOUBT_MS, ownMs * 2);
    this.onDoubt({cause: DoubtCause.PEER, forMs: ownMs});
  }

  private addFailure(): void {
    this.failureShare += (1 - this.failureShare) * NEWEST_WEIGHT;
  }

  private doubt(nowMs: number, cause: DoubtCause): void {
    if (!this.canDoubt || this.isDoubted(nowMs)) return;
    const forMs = this.doubtMs;
    this.doubtUntilMs = nowMs + forMs;
    this.doubtMs = Math.min(LONGEST_DOUBT_MS, forMs * 2);
    // After the doubt a single failure must be enough to raise it again.
    this.failureShare = Math.min(this.failureShare, DOUBT_SHARE);
    this.onDoubt({cause, forMs});
  }
}
