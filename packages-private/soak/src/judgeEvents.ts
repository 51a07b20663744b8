import {Ledger} from './ledger.js';
import {parseSoakEvent, SoakEventError} from './soakEvent.js';
import type {SoakEvent} from './soakEvent.js';

/** The result of judging a recorded stream of events. */
export interface StreamVerdict {
  readonly events: number;
  readonly violations: readonly string[];
  /** Judges whose events never occurred, so that they checked nothing. */
  readonly idleJudges: readonly string[];
}

/** The type of event that each judge needs, by the name of the judge. */
const REQUIRED_EVENTS: Readonly<Record<string, SoakEvent['type']>> = {
  answers: 'attempt',
  runs: 'run',
  repeats: 'arrived',
  leaves: 'endpointLeft',
  evacuations: 'zoneEvacuated',
  'deadly requests': 'deadlyEnd',
  'callers that leave': 'callerLeft',
};

/** Judges a recorded stream again; throws a `SoakEventError` that names the invalid line. */
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
  const idleJudges = Object.entries(REQUIRED_EVENTS)
    .filter(([, type]) => ledger.eventCount(type) === 0)
    .map(([judge]) => judge);
  if (ledger.limits.judgedCount === 0) idleJudges.push('limits');
  if (ledger.saidLeaves.judgedCount === 0) idleJudges.push('said leaves');
  if (ledger.rests.judgedCount === 0) idleJudges.push('rests');
  return {events: lines.length, violations: ledger.violations(), idleJudges};
}
