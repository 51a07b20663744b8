import {isSlowRead, isSuccessful} from './attemptOutcome.js';
import type {Ledger} from './ledger.js';
import type {SoakVerdict} from './soakOptions.js';

/** What a verdict says of the work that was done and checked. */
export type WorkCounts = Omit<
  SoakVerdict,
  | 'seed'
  | 'processes'
  | 'faults'
  | 'peakMb'
  | 'takenPorts'
  | 'violations'
  | 'logFolder'
>;

/** Counts the work that a ledger has recorded. */
export function countWork(ledger: Ledger): WorkCounts {
  return {
    attempts: ledger.attempts.length,
    good: ledger.attempts.filter(isSuccessful).length,
    runs: ledger.runCount,
    deadlyEnds: ledger.deadly.count + ledger.deadlyPart.count,
    repeats: ledger.repeats.count,
    worstRetryWindows: ledger.repeats.worstWindows(),
    countedRetries: ledger.retryLogs.countedRetries,
    comparedWithCounters: ledger.retryLogs.comparedWithCounters,
    callersLeft: ledger.gone.judgedCount,
    slowReads: ledger.attempts.filter(isSlowRead).length,
    limited: ledger.limits.judgedCount,
    atLeaving: ledger.saidLeaves.judgedCount,
    rests: ledger.rests.judgedCount,
  };
}
