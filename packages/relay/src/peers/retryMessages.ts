/** @fileoverview Messages with which entries share the budgets of retries. */

/** Retry counts of earlier builds, which are not used. */
export interface RetryUseNotice {
  readonly type: 'retryUse' | 'formerRetryUse';
}

/** The number of entries that the sender sees, sent when a link opens and when it changes. */
export interface EntryCountNotice {
  readonly type: 'entryCount';
  readonly entryCount: number;
}

/** Asks for a retry out of the receiver's share of the budget of a service. */
export interface RetryLoanAsk {
  readonly type: 'retryLoanAsk';
  /** Unique for the sender's process. */
  readonly loanId: number;
  readonly service: string;
}

/** The sender has no more use of a loan: its retry can't arrive later than in `inMs`. */
export interface RetryLoanSettled {
  readonly type: 'retryLoanSettled';
  readonly loanId: number;
  readonly inMs: number;
}

/** Answers whether the sender has counted the retry, so that the receiver may send it. */
export interface RetryLoanAnswer {
  readonly type: 'retryLoanAnswer';
  readonly loanId: number;
  readonly isGranted: boolean;
}
