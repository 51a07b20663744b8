import {RetryBudgets, RetryKind, RetrySource} from '@lilacledge/policy';
import {VirtualClock} from '@lilacledge/shared';
import {beforeEach, describe, expect, it} from 'vitest';
import type {Peer} from '../peerMesh.js';
import type {PeerMessage} from '../peerMessages.js';
import {RetryLoans} from '../retryLoans.js';

const SERVICE = 'drafts';

/** Later types of messages that entries read. */
const READS_TYPES = ['retryLoanAsk', 'retryLoanAnswer', 'retryLoanSettled'];

const ALLOWANCE = {retryRatio: 0.2, retryWindowMs: 10_000, retrySlack: 40};

/** Longer than an entry waits for an answer, and than it asks nobody after a refusal. */
const UNANSWERED_MS = 100;
const PAUSE_MS = 300;

/** An entry whose messages arrive at others at once. */
interface TestEntry {
  readonly budgets: RetryBudgets;
  readonly loans: RetryLoans;
  asks: number;
  isReachable: boolean;
}

let clock: VirtualClock;
let entries: TestEntry[];

beforeEach(() => {
  clock = new VirtualClock();
  entries = [];
  for (let index = 0; index < 4; index++) entries.push(startEntry(index));
});

function startEntry(
  index: number,
  readsTypes: readonly string[] = READS_TYPES,
): TestEntry {
  const fleet = {entries: () => 4, isCurrent: () => true};
  const budgets = new RetryBudgets(true, ALLOWANCE, fleet, clock);
  const peers = (): Peer[] =>
    entries.flatMap((_entry, other) =>
      other === index ? [] : [peerOf(index, other, readsTypes)],
    );
  const loans = new RetryLoans(clock, () => 0.5, budgets, peers);
  return {budgets, loans, asks: 0, isReachable: true};
}

/** The link of entry `from` to entry `to`. */
function peerOf(from: number, to: number, readsTypes: readonly string[]): Peer {
  return {
    hello: {
      type: 'hello',
      instance: `entry-${to}`,
      role: 'entry',
      zone: 'north',
      readsTypes,
    },
    send: (message) => receive(from, to, message),
    close: () => {},
  };
}

function receive(from: number, to: number, message: PeerMessage): void {
  const {loans, isReachable} = entries[to]!;
  if (!isReachable) return;
  const peer = peerOf(to, from, READS_TYPES);
  if (message.type === 'retryLoanAnswer') loans.noteAnswer(peer, message);
  if (message.type === 'retryLoanSettled') loans.noteSettled(peer, message);
  if (message.type !== 'retryLoanAsk') return;
  entries[to]!.asks++;
  loans.answerAsk(peer, message);
}

function takeAll({budgets}: TestEntry): number {
  let taken = 0;
  for (;;) {
    const retry = budgets.of(SERVICE).tryTake();
    if (retry === undefined) return taken;
    retry.settle(clock.nowMs());
    taken++;
  }
}

/** Borrows and uses one retry; false if nobody lends one. */
async function borrowOne(
  {budgets, loans}: TestEntry,
  kind: RetryKind = RetryKind.CONTINUATION,
): Promise<boolean> {
  const pending = loans.borrow(SERVICE, kind);
  await clock.advance(3 * UNANSWERED_MS);
  const loan = await pending;
  const retry = budgets.of(SERVICE).tryTake(loan);
  retry?.settle(clock.nowMs());
  return retry?.source === RetrySource.LOAN;
}

describe('RetryLoans', () => {
  it('lend all that other entries have left, and no more', async () => {
    const [borrower] = entries as [TestEntry];
    let taken = takeAll(borrower);
    while (await borrowOne(borrower)) taken++;
    for (const entry of entries) taken += takeAll(entry);
    expect(taken).toBeGreaterThan(0.9 * ALLOWANCE.retrySlack - 4);
    expect(taken).toBeLessThanOrEqual(ALLOWANCE.retrySlack);
  });

  it('ask another entry if one does not answer', async () => {
    const [borrower, ...others] = entries as [TestEntry, ...TestEntry[]];
    takeAll(borrower);
    for (const other of others.slice(1)) other.isReachable = false;
    expect(await borrowOne(borrower)).toBe(true);
  });

  // Guards against a storm of messages while no entry has a retry to lend.
  it('pause after nobody had a retry to lend, but not for continuations', async () => {
    for (const entry of entries) takeAll(entry);
    const [borrower, ...others] = entries as [TestEntry, ...TestEntry[]];
    const asks = (): number => others.reduce((sum, one) => sum + one.asks, 0);
    await borrower.loans.borrow(SERVICE, RetryKind.RETRY);
    expect(asks()).toBe(3);
    await borrower.loans.borrow(SERVICE, RetryKind.RETRY);
    expect(asks()).toBe(3);
    await borrower.loans.borrow(SERVICE, RetryKind.CONTINUATION);
    expect(asks()).toBe(6);
    await clock.advance(PAUSE_MS);
    await borrower.loans.borrow(SERVICE, RetryKind.RETRY);
    expect(asks()).toBe(9);
  });

  // Guards against a lender that uses its share again while what it lent has yet to arrive.
  it('count at the lender until the borrower says that the retry lies behind', async () => {
    const [borrower, ...others] = entries as [TestEntry, ...TestEntry[]];
    takeAll(borrower);
    const lentByAll = (): number =>
      others.reduce((sum, {budgets}) => sum + budgets.of(SERVICE).open, 0);
    const pending = borrower.loans.borrow(SERVICE, RetryKind.CONTINUATION);
    await clock.advance(3 * UNANSWERED_MS);
    const retry = borrower.budgets.of(SERVICE).tryTake(await pending);
    await clock.advance(30_000);
    expect(lentByAll()).toBe(1);
    retry!.settle(clock.nowMs());
    expect(lentByAll()).toBe(0);
  });

  it('are given back if they are not used in time', async () => {
    const [borrower, ...others] = entries as [TestEntry, ...TestEntry[]];
    takeAll(borrower);
    await borrower.loans.borrow(SERVICE, RetryKind.CONTINUATION);
    await clock.advance(1_100);
    for (const {budgets} of others) expect(budgets.of(SERVICE).open).toBe(0);
  });

  it('do not ask entries of earlier builds', async () => {
    const borrower = startEntry(0, []);
    expect(await borrowOne(borrower)).toBe(false);
  });
});
