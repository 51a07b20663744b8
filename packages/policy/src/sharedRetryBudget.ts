import type {Clock} from '@lilacledge/shared';
import type {OpenRetry} from './openRetry.js';
import {RetryWindow} from './retryWindow.js';

/** Share of the slack that is divided; the rest covers entries that not all others see. */
const SLACK_SHARE = 0.95;

/** With a smaller share of the slack, an entry has hardly a retry that its requests don't earn. */
const MIN_USABLE_SLACK = 2;

/** Time from taking a retry until it must be sent; the maximum time to connect. */
export const RETRY_ARRIVAL_MS = 250;

/** How long after it asked for a loan an entry may use it. */
export const RETRY_LOAN_MS = 1_000;

/** Allowance of retries for all entries together. */
export interface RetryAllowance {
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  /** Retries allowed in a window regardless of requests, over all entries. */
  readonly retrySlack: number;
}

/** What a budget needs to know about this entry and the others. */
export interface BudgetSharing {
  /** Whether this entry may use its share of the slack. */
  readonly hasSlack: boolean;
  /** The highest number of entries seen in a window. */
  readonly entryCount: number;
  /** Records the number of entries that are seen now. */
  noteEntryCount(): void;
}

/** One retry that another entry has counted in its own share, until it is told otherwise. */
export class RetryLoan {
  private isUsed = false;

  constructor(
    private readonly expiresAtMs: number,
    /** The lender's count of the retry. */
    private readonly lent: OpenRetry,
  ) {}

  /** Uses the loan; undefined if it has expired or was used. */
  tryUse(nowMs: number): OpenRetry | undefined {
    if (this.isUsed || nowMs > this.expiresAtMs) return undefined;
    this.isUsed = true;
    return this.lent;
  }

  /** Gives the loan back unless it was used. */
  release(nowMs: number): void {
    if (this.isUsed) return;
    this.isUsed = true;
    this.lent.settle(nowMs);
  }
}

/** Why a request is sent again. */
export const RetryKind = {
  RETRY: 'retry',
  /** A generation continues at another endpoint; without it, a started stream is lost. */
  CONTINUATION: 'continuation',
} as const;
export type RetryKind = (typeof RetryKind)[keyof typeof RetryKind];

/** Whose share of the budget a retry uses. */
export const RetrySource = {OWN: 'own', LOAN: 'loan'} as const;
export type RetrySource = (typeof RetrySource)[keyof typeof RetrySource];

/** A retry that was taken; to be settled once no send of its request can arrive any more. */
export interface TakenRetry extends OpenRetry {
  readonly source: RetrySource;
}

/**
 * This entry's share of the retry budget of one service: a ratio of its requests, and an equal
 * share of the slack. An entry never uses the share of another one, unless that has lent a
 * retry and has counted it itself.
 */
export class SharedRetryBudget {
  private readonly window: RetryWindow;

  constructor(
    private readonly allowance: RetryAllowance,
    private readonly sharing: BudgetSharing,
    private readonly clock: Pick<Clock, 'nowMs'>,
  ) {
    this.window = new RetryWindow(allowance);
  }

  noteRequest(): void {
    this.sharing.noteEntryCount();
    this.window.noteRequest(this.clock.nowMs());
  }

  /** Whether a retry could be taken from this entry's own share. */
  get hasCapacity(): boolean {
    return this.window.allows(this.clock.nowMs(), this.slack);
  }

  /** Takes one retry, to be sent at once; undefined if the budget is exhausted. */
  tryTake(loan?: RetryLoan): TakenRetry | undefined {
    const nowMs = this.clock.nowMs();
    if (this.hasCapacity) {
      loan?.release(nowMs);
      return takenFrom(RetrySource.OWN, this.window.openRetry(nowMs));
    }
    const lent = loan?.tryUse(nowMs);
    return lent && takenFrom(RetrySource.LOAN, lent);
  }

  /**
   * Whether to ask other entries for a loan. Retries do so only if this entry has no usable
   * share of the slack; otherwise one entry could use up the shares of all in a storm.
   */
  mayBorrow(kind: RetryKind): boolean {
    if (this.hasCapacity) return false;
    return kind === RetryKind.CONTINUATION || this.slack < MIN_USABLE_SLACK;
  }

  /** Counts a retry that another entry may send instead; undefined if there is none to lend. */
  tryLend(): OpenRetry | undefined {
    if (!this.hasCapacity) return undefined;
    return this.window.openRetry(this.clock.nowMs());
  }

  /** Retries of the last window that this entry counts: taken or lent. */
  get used(): number {
    return this.window.retries(this.clock.nowMs());
  }

  /** Retries whose arrival may lie ahead, of those that this entry counts. */
  get open(): number {
    return this.window.openRetries(this.clock.nowMs());
  }

  /** Requests of the last window. */
  get requests(): number {
    return this.window.requests(this.clock.nowMs());
  }

  /** Retries that the requests of the last window and the slack allow in a window. */
  get allowed(): number {
    return this.allowance.retryRatio * this.requests + this.slack;
  }

  private get slack(): number {
    const {hasSlack, entryCount} = this.sharing;
    if (!hasSlack) return 0;
    return (this.allowance.retrySlack / entryCount) * SLACK_SHARE;
  }
}

function takenFrom(source: RetrySource, retry: OpenRetry): TakenRetry {
  return {source, settle: (arrivedByMs) => retry.settle(arrivedByMs)};
}
