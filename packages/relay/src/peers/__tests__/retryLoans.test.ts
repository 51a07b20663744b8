import {RetryBudgets, RetryKind, RetrySource} from '@lilacledge/policy';
import {VirtualClock} from '@lilacledge/shared';
import {beforeEach, describe, expect, it} from 'vitest';
import type {Peer} from '../peerMesh.js';
import type {PeerMessage} from '../peerMessages.js';
import {RetryLoans} from '../retryLoans.js';

const SERVICE = 'drafts';
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

function startEntry(index: number, readsTypes = ['retryLoanAsk']): TestEntry {
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
function peerOf(from: number, to: number, readsTypes: string[]): Peer {
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
  if (message.type === 'retryLoanAnswer') loans.noteAnswer(message);
  if (message.type !== 'retryLoanAsk') return;
  entries[to]!.asks++;
  loans.answerAsk(peerOf(to, from, ['retryLoanAsk']), message);
}

function takeAll({budgets}: TestEntry): number {
  let taken = 0;
  while (budgets.of(SERVICE).tryTake()) taken++;
  return taken;
}

/** Borrows and uses one retry; false if nobody lends one. */
async function borrowOne(
  {budgets, loans}: TestEntry,
  kind: RetryKind = RetryKind.CONTINUATION,
): Promise<boolean> {
  const pending = loans.borrow(SERVICE, kind);
  await clock.advance(3 * UNANSWERED_MS);
  const loan = await pending;
  return budgets.of(SERVICE).tryTake(loan) === RetrySource.LOAN;
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

  it('do not ask entries of earlier builds', async () => {
    const borrower = startEntry(0, []);
    expect(await borrowOne(borrower)).toBe(false);
  });
});
