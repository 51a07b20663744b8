import {
  MAX_OPEN_MS,
  RETRY_ARRIVAL_MS,
  RETRY_LOAN_MS,
  RetryKind,
  RetryLoan,
} from '@lilacledge/policy';
import type {OpenRetry, RetryBudgets} from '@lilacledge/policy';
import type {Clock, Random} from '@lilacledge/shared';
import type {Peer} from './peerMesh.js';
import {PeerRole, readsType} from './peerMessages.js';
import type {
  RetryLoanAnswer,
  RetryLoanAsk,
  RetryLoanSettled,
} from './retryMessages.js';

/** Timeout for an entry's answer; one hop takes at most 2 ms. */
const ANSWER_TIMEOUT_MS = 60;

/** Number of entries that are asked for one retry. */
const MAX_ASKED = 3;

/** After nobody had a retry to lend, nobody is asked for one for this long. */
const REFUSAL_PAUSE_MS = 250;

/** Lends retries of this entry's budgets to linked entries, and borrows theirs. */
export class RetryLoans {
  /** Callbacks for the answers, by id of the loan. */
  private readonly waiting = new Map<number, (isGranted: boolean) => void>();
  /** Retries that others have borrowed, by borrower and id of the loan. */
  private readonly lent = new Map<string, OpenRetry>();
  /** When nobody had a retry to lend, by service. */
  private readonly refusedAtMs = new Map<string, number>();
  private nextId = 0;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly budgets: RetryBudgets,
    private readonly peers: () => Iterable<Peer>,
  ) {}

  /** Asks some linked entries, one after the other; undefined if none has a retry to lend. */
  async borrow(
    service: string,
    kind: RetryKind,
  ): Promise<RetryLoan | undefined> {
    if (kind === RetryKind.RETRY && this.isPaused(service)) return undefined;
    for (const lender of this.chooseLenders()) {
      const loan = await this.ask(lender, service);
      if (loan !== undefined) return loan;
    }
    this.refusedAtMs.set(service, this.clock.nowMs());
    return undefined;
  }

  answerAsk(borrower: Peer, {loanId, service}: RetryLoanAsk): void {
    const retry = this.budgets.of(service).tryLend();
    if (retry !== undefined) this.keepLent(borrower, loanId, retry);
    const isGranted = retry !== undefined;
    borrower.send({type: 'retryLoanAnswer', loanId, isGranted});
  }

  noteAnswer(lender: Peer, {loanId, isGranted}: RetryLoanAnswer): void {
    const finish = this.waiting.get(loanId);
    if (finish !== undefined) finish(isGranted);
    // The answer came too late to be used.
    else if (isGranted) this.giveBack(lender, loanId, 0);
  }

  noteSettled(borrower: Peer, {loanId, inMs}: RetryLoanSettled): void {
    const key = loanKey(borrower, loanId);
    const arrivedInMs = Math.min(inMs, MAX_OPEN_MS);
    this.lent.get(key)?.settle(this.clock.nowMs() + arrivedInMs);
    this.lent.delete(key);
  }

  /** Counts a loan until its borrower says that its retry lies behind. */
  private keepLent(borrower: Peer, loanId: number, retry: OpenRetry): void {
    const {clock, lent} = this;
    if (!readsType(borrower.hello, 'retryLoanSettled')) {
      // Earlier builds don't say so, and send what they borrow at once.
      retry.settle(clock.nowMs() + RETRY_LOAN_MS + RETRY_ARRIVAL_MS);
      return;
    }
    const key = loanKey(borrower, loanId);
    lent.set(key, retry);
    clock.after(MAX_OPEN_MS, () => {
      if (lent.get(key) === retry) lent.delete(key);
    });
  }

  private giveBack(lender: Peer, loanId: number, inMs: number): void {
    if (!readsType(lender.hello, 'retryLoanSettled')) return;
    lender.send({type: 'retryLoanSettled', loanId, inMs});
  }

  private isPaused(service: string): boolean {
    const refusedAtMs = this.refusedAtMs.get(service) ?? -Infinity;
    return this.clock.nowMs() - refusedAtMs < REFUSAL_PAUSE_MS;
  }

  private chooseLenders(): Peer[] {
    const lenders = [...this.peers()].filter(
      ({hello}) =>
        hello.role === PeerRole.ENTRY && readsType(hello, 'retryLoanAsk'),
    );
    const chosen: Peer[] = [];
    while (chosen.length < MAX_ASKED && lenders.length > 0) {
      const drawn = Math.floor(this.random() * lenders.length);
      chosen.push(...lenders.splice(drawn, 1));
    }
    return chosen;
  }

  private async ask(
    lender: Peer,
    service: string,
  ): Promise<RetryLoan | undefined> {
    const {clock} = this;
    const loanId = this.nextId++;
    const expiresAtMs = clock.nowMs() + RETRY_LOAN_MS;
    const isGranted = await this.askFor(lender, loanId, service);
    if (!isGranted) return undefined;
    const loan = new RetryLoan(expiresAtMs, {
      settle: (arrivedByMs) => {
        const inMs = Math.max(0, Math.ceil(arrivedByMs - clock.nowMs()));
        this.giveBack(lender, loanId, inMs);
      },
    });
    clock.after(RETRY_LOAN_MS, () => loan.release(clock.nowMs()));
    return loan;
  }

  private askFor(
    lender: Peer,
    loanId: number,
    service: string,
  ): Promise<boolean> {
    return new Promise((resolve) => {
      const finish = (isGranted: boolean): void => {
        cancel();
        this.waiting.delete(loanId);
        resolve(isGranted);
      };
      const cancel = this.clock.after(ANSWER_TIMEOUT_MS, () => finish(false));
      this.waiting.set(loanId, finish);
      lender.send({type: 'retryLoanAsk', loanId, service});
    });
  }
}

function loanKey({hello}: Peer, loanId: number): string {
  return `${hello.instance} ${loanId}`;
}
