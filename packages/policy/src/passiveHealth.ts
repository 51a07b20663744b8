/** Weight of the newest outcome in the moving average of failures; about ten outcomes count. */
const EWMA_WEIGHT = 0.2;

/**
 * Failure ratio from which an endpoint is doubted. Services that answer one call in
 * seven with an error stay well below it.
 */
const DOUBT_RATIO = 0.45;

/** How long the first doubt lasts. */
const INITIAL_DOUBT_MS = 1_500;

/** Each consecutive doubt lasts twice as long, up to the usual length of an outage. */
const MAX_DOUBT_MS = 8_000;

/** Consecutive requests without a connection or a response that raise a doubt. */
export const NO_RESPONSE_LIMIT = 2;

/** What raised a doubt. */
export const DoubtCause = {
  /** Connections were refused or reset by the endpoint itself. */
  RESET: 'reset',
  /** No response; the network may be at fault. */
  SILENT: 'silent',
  /** Too many responses were errors or incomplete. */
  FAILURES: 'failures',
  /** Reported by another entry. */
  PEER: 'peer',
} as const;
export type DoubtCause = (typeof DoubtCause)[keyof typeof DoubtCause];

/** A period in which the endpoint gets work only if no other endpoint can take it. */
export interface Doubt {
  readonly cause: DoubtCause;
  readonly forMs: number;
}

/** Passive health check: judges an endpoint by the outcomes of this process's requests. */
export class PassiveHealth {
  private failureRatio = 0;
  private consecutiveNoResponses = 0;
  private doubtUntilMs = 0;
  private doubtMs = INITIAL_DOUBT_MS;

  constructor(
    private readonly onDoubt: (raiseDoubt: Doubt) => void = () => {},
    /** If false, failures are counted but raise no doubt. */
    private readonly canRaiseDoubts = true,
  ) {}

  /** True while the endpoint should get work only if no other can take it. */
  isDoubted(nowMs: number): boolean {
    return nowMs < this.doubtUntilMs;
  }

  /** Estimated probability that a request fails, 0 to 1. */
  get failureProbability(): number {
    return this.failureRatio;
  }

  noteSuccess(): void {
    this.failureRatio *= 1 - EWMA_WEIGHT;
    this.consecutiveNoResponses = 0;
    if (this.failureRatio < DOUBT_RATIO / 3) this.doubtMs = INITIAL_DOUBT_MS;
  }

  /** The endpoint responded with an error, or with an incomplete response. */
  noteFailure(nowMs: number): void {
    this.addFailure();
    if (this.failureRatio >= DOUBT_RATIO) {
      this.doubt(nowMs, DoubtCause.FAILURES);
    }
  }

  /** No connection or no response; `limit` of these in a row raise a doubt. */
  noteNoResponse(
    nowMs: number,
    isReset: boolean,
    limit = NO_RESPONSE_LIMIT,
  ): void {
    this.addFailure();
    this.consecutiveNoResponses++;
    const isDoubtful =
      this.consecutiveNoResponses >= limit || this.failureRatio >= DOUBT_RATIO;
    if (!isDoubtful) return;
    this.doubt(nowMs, isReset ? DoubtCause.RESET : DoubtCause.SILENT);
  }

  /** Applies a doubt reported by another entry, unless one is active already. */
  applyPeerDoubt(nowMs: number, forMs: number): void {
    if (!this.canRaiseDoubts || this.isDoubted(nowMs)) return;
    const boundedMs = Math.min(MAX_DOUBT_MS, forMs);
    this.doubtUntilMs = nowMs + boundedMs;
    // The next doubt of this process continues the backoff of the reported one.
    this.doubtMs = Math.min(MAX_DOUBT_MS, boundedMs * 2);
    this.onDoubt({cause: DoubtCause.PEER, forMs: boundedMs});
  }

  private addFailure(): void {
    this.failureRatio += (1 - this.failureRatio) * EWMA_WEIGHT;
  }

  private doubt(nowMs: number, cause: DoubtCause): void {
    if (!this.canRaiseDoubts || this.isDoubted(nowMs)) return;
    const forMs = this.doubtMs;
    this.doubtUntilMs = nowMs + forMs;
    this.doubtMs = Math.min(MAX_DOUBT_MS, forMs * 2);
    // After the doubt a single failure is enough to raise the next one.
    this.failureRatio = Math.min(this.failureRatio, DOUBT_RATIO);
    this.onDoubt({cause, forMs});
  }
}
