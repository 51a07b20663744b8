import {Ledger} from './ledger.js';
import {parseSoakEvent, SoakEventError} from './soakEvent.js';
import type {SoakEvent} from './soakEvent.js';

/** What a kept stream of events shows. */
export interface StreamVerdict {
  readonly events: number;
  readonly violations: readonly string[];
  /** Types of events that each judge needs and that never came: it judged nothing. */
  readonly idleJudges: readonly string[];
}

/** What each judge needs to see, by its promise. */
const NEEDED: Readonly<Record<string, SoakEvent['type']>> = {
  answers: 'attempt',
  runs: 'run',
  repeats: 'arrived',
  leaves: 'endpointLeft',
  evacuations: 'zoneEvacuated',
  'deadly requests': 'deadlyEnd',
  'callers that leave': 'callerLeft',
};

/** Judges a stream again; throws a `SoakEventError` that names the line. */
export function judgeEvents(lines: readonly string[]): StreamVerdict {
  const ledger = new Ledger();
  for (const [index, line] of lines.entries()) {
    try {
      ledger.note(parseSoakEvent(line));
    } catch (error) {
      if (!(error instanceof SoakEventError)) throw error;
      throw new SoakEventError(`line ${index + 1}: ${error.message}`);
    }
  }
  const idleJudges = Object.entries(NEEDED)
    .filter(([, type]) => ledger.seenOf(type) === 0)
    .map(([judge]) => judge);
  if (ledger.limits.judgedCount === 0) idleJudges.push('limits');
  if (ledger.saidLeaves.judgedCount === 0) idleJudges.push('said leaves');
  if (ledger.rests.judgedCount === 0) idleJudges.push('rests');
  return {events: lines.length, violations: ledger.violations(), idleJudges};
}
