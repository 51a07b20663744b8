import {ORGANISATION, DEFAULT_DEADLINE_MS} from '@lilacledge/platform-standins';
import type {RecordedRun} from '@lilacledge/platform-standins';
import {assertNever} from '@lilacledge/shared';
import {DeadlineLedger} from './deadlineLedger.js';
import {
  DEADLY_PART,
  DEADLY_REQUEST,
  DeadlyLedger,
  QUARANTINE_ANSWER,
} from './deadlyLedger.js';
import {DenialLedger} from './denialLedger.js';
import {DisconnectLedger} from './disconnectLedger.js';
import {LeaveLedger} from './leaveLedger.js';
import {LimitLedger} from './limitLedger.js';
import {RepeatLedger} from './repeatLedger.js';
import {RestLedger} from './restLedger.js';
import {RetryLogLedger} from './retryLogLedger.js';
import {SaidLeaveLedger} from './saidLeaveLedger.js';
import {RequestKind, SoakEventError, SoakService} from './soakEvent.js';
import type {Attempt, SoakEvent} from './soakEvent.js';
import {EVACUATE_MS} from './zoneFaults.js';

/** How often a request may be started, by the configuration of its route. */
const MAX_RUNS: Readonly<Record<RequestKind, number>> = {
  draft: 1,
  booking: 1,
  lookup: 2,
  resumed: 2,
};

/** Timeouts of the routes, or the callers' own timeout where that is shorter. */
export const ROUTE_TIMEOUT_MS: Readonly<Record<RequestKind, number>> = {
  draft: DEFAULT_DEADLINE_MS,
  booking: 2_000,
  lookup: 2_000,
  resumed: 2_000,
};

/** The requirements let a final answer come this long after the route's timeout. */
const MAX_ANSWER_DELAY_MS = 500;

/** A violation takes this many overdue requests, and more than this share of the timed-out ones. */
const MIN_OVERDUE = 8;
const MAX_OVERDUE_SHARE = 0.25;

/** Stand-in endpoints sign their answers with this prefix and their id. */
const SIGNATURE_PREFIX = 's-';

/** Statuses by which an entry promises that a request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Collects what callers and endpoints observed in one soak and checks the promises against it. */
export class Ledger {
  readonly attempts: Attempt[] = [];
  readonly leaves = new LeaveLedger();
  readonly deadly = new DeadlyLedger(DEADLY_REQUEST);
  readonly deadlyPart = new DeadlyLedger(DEADLY_PART);
  /** The ledger of each request that crashes engines, by id. */
  private readonly deadlyById = new Map<string, DeadlyLedger>();
  readonly repeats = new RepeatLedger();
  /** Judged once the logs of the entries are read, which is not part of `violations`. */
  readonly retryLogs = new RetryLogLedger();
  readonly deadlines = new DeadlineLedger();
  readonly denials = new DenialLedger();
  readonly gone = new DisconnectLedger();
  readonly limits = new LimitLedger();
  readonly saidLeaves = new SaidLeaveLedger();
  readonly rests = new RestLedger();
  /** Exits of programs that the soak did not cause. */
  readonly unexpectedExits: string[] = [];
  /** Programs that used more memory than they may. */
  private readonly overMemory: string[] = [];
  /** Evacuations of zones, by name. */
  readonly evacuations = new LeaveLedger(EVACUATE_MS);
  private readonly eventCounts = new Map<SoakEvent['type'], number>();
  /** Zone by endpoint id. */
  private readonly zones = new Map<string, string>();
  /** Kinds of the requests that callers sent, by id. */
  private readonly sent = new Map<string, RequestKind>();
  private readonly runs = new Map<string, RecordedRun[]>();
  /** When each endpoint last began a run, by id. */
  private readonly lastRunAtMs = new Map<string, number>();

  constructor(
    /** Called with each event before it is processed. */
    private readonly onEvent: (event: SoakEvent) => void = () => {},
  ) {}

  /** Records an event; throws a `SoakEventError` when it contradicts an earlier one. */
  note(event: SoakEvent): void {
    this.onEvent(event);
    this.eventCounts.set(
      event.type,
      (this.eventCounts.get(event.type) ?? 0) + 1,
    );
    switch (event.type) {
      case 'allowance':
        this.repeats.retrySlack = event.retrySlack;
        return;
      case 'zone':
        this.zones.set(event.endpointId, event.zone);
        return;
      case 'disturbed':
        this.noteDisturbed(event.fromMs, event.untilMs);
        return;
      case 'connectionsReset':
        this.leaves.noteReset(event.atMs);
        this.evacuations.noteReset(event.atMs);
        return;
      case 'sent':
        this.noteSent(event.requestId, event.kind, event.atMs);
        if (event.isDeadly === true) {
          this.deadlyById.set(event.requestId, this.deadly);
        }
        if (event.hasDeadlyPart === true) {
          this.deadlyById.set(event.requestId, this.deadlyPart);
        }
        if (event.entry !== undefined) {
          this.retryLogs.noteRequest(event.requestId, event.entry, event.atMs);
          this.limits.noteSent(event.requestId, event.entry);
          this.rests.noteSent(event.requestId, event.entry);
          this.saidLeaves.noteSent(event.requestId, event.entry, event.atMs);
        }
        return;
      case 'arrived':
        this.noteArrival(event);
        return;
      case 'attempt':
        this.attempts.push(event);
        this.denials.note(event);
        this.noteForwarded(event);
        return;
      case 'run':
        this.noteRun(event);
        return;
      case 'runEnded':
        this.noteRunEnded(event.requestId, event.atMs, event.isDone);
        return;
      case 'callerLeft':
        this.gone.noteLeft(event.requestId, event.atMs);
        return;
      case 'endpointLeft':
        this.leaves.noteLeft(event.endpointId, event.atMs);
        return;
      case 'endpointBack':
        this.leaves.noteBack(event.endpointId, event.atMs);
        return;
      case 'zoneEvacuated':
        this.evacuations.noteLeft(event.zone, event.atMs);
        return;
      case 'zoneTakenBack':
        this.evacuations.noteBack(event.zone, event.atMs);
        return;
      case 'deadlyEnd':
        (event.isPart === true ? this.deadlyPart : this.deadly).noteCrash(
          event.atMs,
        );
        return;
      case 'entryEnded':
        this.retryLogs.noteEntryEnded(event.entry, event.atMs);
        this.limits.noteEntryEnded(event.entry, event.atMs);
        this.saidLeaves.noteEntryEnded(event.entry, event.atMs);
        this.rests.noteEntryEnded(event.entry, event.atMs);
        return;
      case 'retryCounter':
        this.retryLogs.noteCounter(event.entry, event);
        return;
      case 'ownEnd':
        this.unexpectedExits.push(event.text);
        return;
      case 'overMemory': {
        const {program, residentMb, memoryMb} = event;
        this.overMemory.push(
          `${program} uses ${Math.round(residentMb)} of its ${memoryMb} MB`,
        );
        return;
      }
      default:
        assertNever(event);
    }
  }

  /** How often an event of this type was recorded. */
  eventCount(type: SoakEvent['type']): number {
    return this.eventCounts.get(type) ?? 0;
  }

  private noteDisturbed(fromMs: number, untilMs: number): void {
    this.leaves.noteDisturbed(fromMs, untilMs);
    this.evacuations.noteDisturbed(fromMs, untilMs);
    this.gone.noteDisturbed(fromMs, untilMs);
  }

  private noteSent(requestId: string, kind: RequestKind, atMs: number): void {
    const known = this.sent.get(requestId);
    if (known !== undefined && known !== kind) {
      throw new SoakEventError(`${requestId} was sent as ${known} and ${kind}`);
    }
    this.sent.set(requestId, kind);
    const service = isStream(kind) ? SoakService.DRAFTS : SoakService.BOOKINGS;
    this.repeats.noteRequest(service, atMs, requestId);
    this.deadlines.noteSent(requestId, DEFAULT_DEADLINE_MS);
  }

  private noteArrival(event: Extract<SoakEvent, {type: 'arrived'}>): void {
    const {atMs, requestId, service, timeLeftMs, endpointId} = event;
    this.repeats.noteArrival(service, requestId, atMs);
    this.retryLogs.noteArrival(service, requestId, atMs);
    this.deadlines.noteArrival(requestId, atMs, timeLeftMs);
    this.deadlyById.get(requestId)?.noteArrival(requestId, atMs);
    if (endpointId === undefined) return;
    const {limitPerS: perS, saysLeaving = false, restMs} = event;
    this.limits.noteArrival(endpointId, {atMs, requestId, perS});
    this.saidLeaves.noteArrival({endpointId, requestId, atMs, saysLeaving});
    this.rests.noteArrival(endpointId, requestId, {atMs, restMs});
  }

  private noteForwarded({requestId, signature, endedAtMs}: Attempt): void {
    const endpointId = signature?.slice(SIGNATURE_PREFIX.length);
    if (endpointId === undefined) return;
    this.limits.noteForwarded(requestId, endpointId, endedAtMs);
    this.saidLeaves.noteForwarded(requestId, endpointId, endedAtMs);
  }

  private noteRun(run: RecordedRun): void {
    this.lastRunAtMs.set(run.endpointId, run.atMs);
    this.gone.noteWorkBegun(run.requestId, run.atMs);
    const known = this.runs.get(run.requestId) ?? [];
    known.push(run);
    this.runs.set(run.requestId, known);
  }

  private noteRunEnded(requestId: string, atMs: number, isDone: boolean): void {
    if (!this.runs.has(requestId)) {
      throw new SoakEventError(`a run of ${requestId} ended that never began`);
    }
    this.gone.noteWorkEnded(requestId, atMs, isDone);
  }

  /** True when an endpoint began no run since this time. */
  isIdleSince(endpointId: string, sinceMs: number): boolean {
    return (this.lastRunAtMs.get(endpointId) ?? -Infinity) < sinceMs;
  }

  get runCount(): number {
    return this.runs.size;
  }

  /** Describes each broken promise, with the request that shows it where there is one. */
  violations(): string[] {
    return [
      ...this.attempts.flatMap((attempt) => this.judgeAttempt(attempt)),
      ...[...this.runs].flatMap(([id, runs]) => this.judgeRuns(id, runs)),
      ...this.deadly.violations(),
      ...this.deadlyPart.violations(),
      ...this.quarantinedViolations(),
      ...this.repeats.violations(),
      ...this.deadlines.violations(),
      ...this.denials.violations(),
      ...this.gone.violations(),
      ...this.limits.violations(),
      ...this.saidLeaves.violations(),
      ...this.rests.violations(),
      ...this.judgeTimeouts(),
      ...this.unexpectedExits,
      ...this.overMemory,
    ];
  }

  /** Recorded attempts are those of sound requests, of which none may be quarantined. */
  private quarantinedViolations(): string[] {
    return this.attempts
      .filter(({status, body}) => status === 503 && body === QUARANTINE_ANSWER)
      .map(
        ({kind, requestId}) => `${kind} ${requestId}: sound and quarantined`,
      );
  }

  /** By the requirements, most requests that reach their route's timeout are answered then. */
  private judgeTimeouts(): string[] {
    const timedOut = this.attempts.filter(
      (attempt) => durationMs(attempt) >= ROUTE_TIMEOUT_MS[attempt.kind],
    );
    const overdue = timedOut.filter(
      (attempt) =>
        durationMs(attempt) >
        ROUTE_TIMEOUT_MS[attempt.kind] + MAX_ANSWER_DELAY_MS,
    );
    const isTolerated =
      overdue.length < MIN_OVERDUE ||
      overdue.length <= timedOut.length * MAX_OVERDUE_SHARE;
    if (isTolerated) return [];
    return [
      `${overdue.length} of ${timedOut.length} requests had no answer at their route's timeout`,
    ];
  }

  private judgeAttempt(attempt: Attempt): string[] {
    const {requestId, kind, status, isComplete} = attempt;
    const found: string[] = [];
    const report = (text: string): void => {
      found.push(`${kind} ${requestId} at ${attempt.entry}: ${text}`);
    };
    if (NOT_RUN_STATUSES.has(status) && kind !== RequestKind.LOOKUP) {
      if (this.runs.has(requestId)) report(`answered ${status} and has run`);
    }
    if (status !== 200) return found;
    if (attempt.signature === undefined) report('a success without signature');
    if (isStream(kind)) {
      const problem = findStreamProblem(attempt);
      if (problem !== undefined) report(problem);
    } else if (isComplete && !hasExpectedBody(attempt)) {
      report(`the body is not its own: ${attempt.body}`);
    }
    return found;
  }

  private judgeRuns(requestId: string, runs: readonly RecordedRun[]): string[] {
    const kind = this.sent.get(requestId);
    if (kind === undefined) return [`run of ${requestId}, which nobody sent`];
    const found: string[] = [];
    const initialRuns = runs.filter(({isContinued}) => !isContinued);
    if (initialRuns.length > MAX_RUNS[kind]) {
      found.push(`${kind} ${requestId} ran ${initialRuns.length} times`);
    }
    for (const run of runs) {
      const {hasKey, organisation} = run;
      const lateMs = this.leaves.latenessMs(run.endpointId, run);
      if (lateMs !== undefined) {
        found.push(
          `${kind} ${requestId} reached ${run.endpointId} ${lateMs} ms after its leave`,
        );
      }
      const zone = this.zones.get(run.endpointId) ?? '';
      const zoneLateMs = this.evacuations.latenessMs(zone, run);
      if (zoneLateMs !== undefined) {
        found.push(
          `${kind} ${requestId} reached ${run.endpointId} ${zoneLateMs} ms after ${zone} was evacuated`,
        );
      }
      if (hasKey) found.push(`${kind} ${requestId}: an endpoint saw the key`);
      if (organisation !== ORGANISATION) {
        found.push(`${kind} ${requestId}: organisation ${organisation}`);
      }
    }
    return found;
  }
}

function isStream(kind: RequestKind): boolean {
  return kind === RequestKind.DRAFT || kind === RequestKind.RESUMED;
}

function durationMs({sentAtMs, endedAtMs}: Attempt): number {
  return endedAtMs - sentAtMs;
}

function hasExpectedBody({body, requestId, signature}: Attempt): boolean {
  const endpointId = signature?.slice(SIGNATURE_PREFIX.length);
  return body === `answer of ${endpointId} to ${requestId}`;
}

/** Each event must come once, in order and from the caller's own run; a complete stream has all. */
function findStreamProblem(attempt: Attempt): string | undefined {
  const {body, requestId, isComplete, expectedEvents} = attempt;
  const {resumedAfter = 0} = attempt;
  const events = body.split('\n\n').slice(0, -1);
  for (const [index, event] of events.entries()) {
    const id = resumedAfter + index + 1;
    const expected = `id: ${id}\ndata: ${requestId} ${id}`;
    if (event !== expected) return `event ${id} is ${event}`;
  }
  const received = resumedAfter + events.length;
  if (isComplete && received !== expectedEvents) {
    return `complete with ${received} of ${expectedEvents} events`;
  }
  return undefined;
}
