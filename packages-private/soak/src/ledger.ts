import {ORGANISATION, USUAL_DEADLINE_MS} from '@lilacledge/platform-standins';
import type {RecordedRun} from '@lilacledge/platform-standins';
import {assertNever} from '@lilacledge/shared';
import {DeadlineLedger} from './deadlineLedger.js';
import {DeadlyLedger} from './deadlyLedger.js';
import {DenialLedger} from './denialLedger.js';
import {GoneLedger} from './goneLedger.js';
import {LeaveLedger} from './leaveLedger.js';
import {LimitLedger} from './limitLedger.js';
import {RepeatLedger} from './repeatLedger.js';
import {RestLedger} from './restLedger.js';
import {SaidLeaveLedger} from './saidLeaveLedger.js';
import {AskKind, SoakEventError, SoakService} from './soakEvent.js';
import type {Attempt, SoakEvent} from './soakEvent.js';
import {EVACUATE_MS} from './zoneFaults.js';

/** How often a request may begin to run, as its route says. */
const MOST_RUNS: Readonly<Record<AskKind, number>> = {
  draft: 1,
  booking: 1,
  lookup: 2,
};

/** Timeouts of the routes, or the callers' own deadline where that is shorter. */
export const ROUTE_TIMEOUT_MS: Readonly<Record<AskKind, number>> = {
  draft: USUAL_DEADLINE_MS,
  booking: 2_000,
  lookup: 2_000,
};

/** A final answer comes within this time after the route's timeout (stated). */
const ANSWERED_AFTER_MS = 500;

/** So many without an answer, and this part of those that last so long, are too many (stated). */
const FEWEST_OVERDUE = 8;
const MOST_OVERDUE_SHARE = 0.25;

/** Stand-ins sign with this and their id. */
const SIGNATURE_START = 's-';

/** Statuses that promise that a request has not run and never will. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Everything that callers and endpoints saw in one soak. */
export class Ledger {
  readonly attempts: Attempt[] = [];
  readonly leaves = new LeaveLedger();
  readonly deadly = new DeadlyLedger();
  readonly repeats = new RepeatLedger();
  readonly deadlines = new DeadlineLedger();
  readonly denials = new DenialLedger();
  readonly gone = new GoneLedger();
  readonly limits = new LimitLedger();
  readonly saidLeaves = new SaidLeaveLedger();
  readonly rests = new RestLedger();
  /** Ends of programs that nobody asked for. */
  readonly ownEnds: string[] = [];
  /** Of zones, by name. */
  readonly evacuations = new LeaveLedger(EVACUATE_MS);
  private readonly seen = new Map<SoakEvent['type'], number>();
  /** Zones of endpoints, by id. */
  private readonly zones = new Map<string, string>();
  private readonly sent = new Map<string, AskKind>();
  private readonly runs = new Map<string, RecordedRun[]>();
  /** When each endpoint last began to work. */
  private readonly lastRunMs = new Map<string, number>();

  constructor(
    /** Hears of each event before it is judged. */
    private readonly onEvent: (event: SoakEvent) => void = () => {},
  ) {}

  /** Takes what was seen; throws where it cannot be, after what was seen before. */
  note(event: SoakEvent): void {
    this.onEvent(event);
    this.seen.set(event.type, (this.seen.get(event.type) ?? 0) + 1);
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
      case 'sent':
        this.noteSent(event.requestId, event.kind, event.atMs);
        if (event.entry !== undefined) {
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
        this.notePassedOn(event);
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
        this.deadly.noteEnd(event.atMs);
        return;
      case 'entryEnded':
        this.limits.noteEntryEnded(event.entry, event.atMs);
        this.saidLeaves.noteEntryEnded(event.entry, event.atMs);
        this.rests.noteEntryEnded(event.entry, event.atMs);
        return;
      case 'ownEnd':
        this.ownEnds.push(event.text);
        return;
      default:
        assertNever(event);
    }
  }

  /** How often each type of event was seen. */
  seenOf(type: SoakEvent['type']): number {
    return this.seen.get(type) ?? 0;
  }

  private noteDisturbed(fromMs: number, untilMs: number): void {
    this.leaves.noteDisturbed(fromMs, untilMs);
    this.evacuations.noteDisturbed(fromMs, untilMs);
    this.gone.noteDisturbed(fromMs, untilMs);
  }

  private noteSent(requestId: string, kind: AskKind, atMs: number): void {
    const known = this.sent.get(requestId);
    if (known !== undefined && known !== kind) {
      throw new SoakEventError(`${requestId} was sent as ${known} and ${kind}`);
    }
    this.sent.set(requestId, kind);
    const service =
      kind === AskKind.DRAFT ? SoakService.DRAFTS : SoakService.BOOKINGS;
    this.repeats.noteRequest(service, atMs);
    this.deadlines.noteSent(requestId, USUAL_DEADLINE_MS);
  }

  private noteArrival(event: Extract<SoakEvent, {type: 'arrived'}>): void {
    const {atMs, requestId, service, timeLeftMs, endpointId} = event;
    this.repeats.noteArrival(service, requestId, atMs);
    this.deadlines.noteArrival(requestId, atMs, timeLeftMs);
    if (endpointId === undefined) return;
    const {limitPerS: perS, saysLeaving = false, restMs} = event;
    this.limits.noteArrival(endpointId, {atMs, requestId, perS});
    this.saidLeaves.noteArrival({endpointId, requestId, atMs, saysLeaving});
    this.rests.noteArrival(endpointId, requestId, {atMs, restMs});
  }

  private notePassedOn({requestId, signature, endedAtMs}: Attempt): void {
    const endpointId = signature?.slice(SIGNATURE_START.length);
    if (endpointId === undefined) return;
    this.limits.notePassedOn(requestId, endpointId, endedAtMs);
    this.saidLeaves.notePassedOn(requestId, endpointId, endedAtMs);
  }

  private noteRun(run: RecordedRun): void {
    this.lastRunMs.set(run.endpointId, run.atMs);
    this.gone.noteBegun(run.requestId, run.atMs);
    const known = this.runs.get(run.requestId) ?? [];
    known.push(run);
    this.runs.set(run.requestId, known);
  }

  private noteRunEnded(requestId: string, atMs: number, isDone: boolean): void {
    if (!this.runs.has(requestId)) {
      throw new SoakEventError(`a run of ${requestId} ended that never began`);
    }
    this.gone.noteEnded(requestId, atMs, isDone);
  }

  /** True when no work reached an endpoint since a time. */
  isIdleSince(endpointId: string, sinceMs: number): boolean {
    return (this.lastRunMs.get(endpointId) ?? -Infinity) < sinceMs;
  }

  get runCount(): number {
    return this.runs.size;
  }

  /** The promises that were broken, each with the request that shows it. */
  violations(): string[] {
    return [
      ...this.attempts.flatMap((attempt) => this.judgeAttempt(attempt)),
      ...[...this.runs].flatMap(([id, runs]) => this.judgeRuns(id, runs)),
      ...this.deadly.violations(),
      ...this.repeats.violations(),
      ...this.deadlines.violations(),
      ...this.denials.violations(),
      ...this.gone.violations(),
      ...this.limits.violations(),
      ...this.saidLeaves.violations(),
      ...this.rests.violations(),
      ...this.overdue(),
      ...this.ownEnds,
    ];
  }

  /** Of what lasts as long as its route allows, most is answered by then (stated). */
  private overdue(): string[] {
    const lasting = this.attempts.filter(
      (attempt) => lastedMs(attempt) >= ROUTE_TIMEOUT_MS[attempt.kind],
    );
    const overdue = lasting.filter(
      (attempt) =>
        lastedMs(attempt) > ROUTE_TIMEOUT_MS[attempt.kind] + ANSWERED_AFTER_MS,
    );
    const isBorne =
      overdue.length < FEWEST_OVERDUE ||
      overdue.length <= lasting.length * MOST_OVERDUE_SHARE;
    if (isBorne) return [];
    return [
      `${overdue.length} of ${lasting.length} requests had no answer at their route's timeout`,
    ];
  }

  private judgeAttempt(attempt: Attempt): string[] {
    const {requestId, kind, status, isComplete} = attempt;
    const broken: string[] = [];
    const say = (text: string): void => {
      broken.push(`${kind} ${requestId} at ${attempt.entry}: ${text}`);
    };
    if (PROMISES.has(status) && kind !== AskKind.LOOKUP) {
      if (this.runs.has(requestId)) say(`answered ${status} and has run`);
    }
    if (status !== 200) return broken;
    if (attempt.signature === undefined) say('a success without signature');
    if (kind === AskKind.DRAFT) {
      const problem = problemOfStream(attempt);
      if (problem !== undefined) say(problem);
    } else if (isComplete && !isWholeAnswer(attempt)) {
      say(`the body is not its own: ${attempt.body}`);
    }
    return broken;
  }

  private judgeRuns(requestId: string, runs: readonly RecordedRun[]): string[] {
    const kind = this.sent.get(requestId);
    if (kind === undefined) return [`run of ${requestId}, which nobody sent`];
    const broken: string[] = [];
    const fresh = runs.filter(({isContinued}) => !isContinued);
    if (fresh.length > MOST_RUNS[kind]) {
      broken.push(`${kind} ${requestId} ran ${fresh.length} times`);
    }
    for (const run of runs) {
      const {hasKey, organisation} = run;
      const lateMs = this.leaves.latenessMs(run.endpointId, run);
      if (lateMs !== undefined) {
        broken.push(
          `${kind} ${requestId} reached ${run.endpointId} ${lateMs} ms after its leave`,
        );
      }
      const zone = this.zones.get(run.endpointId) ?? '';
      const zoneLateMs = this.evacuations.latenessMs(zone, run);
      if (zoneLateMs !== undefined) {
        broken.push(
          `${kind} ${requestId} reached ${run.endpointId} ${zoneLateMs} ms after ${zone} was evacuated`,
        );
      }
      if (hasKey) broken.push(`${kind} ${requestId}: an endpoint saw the key`);
      if (organisation !== ORGANISATION) {
        broken.push(`${kind} ${requestId}: organisation ${organisation}`);
      }
    }
    return broken;
  }
}

function lastedMs({sentAtMs, endedAtMs}: Attempt): number {
  return endedAtMs - sentAtMs;
}

function isWholeAnswer({body, requestId, signature}: Attempt): boolean {
  const endpointId = signature?.slice(SIGNATURE_START.length);
  return body === `answer of ${endpointId} to ${requestId}`;
}

/** Events come once, in order, of the caller's own run; whole if complete. */
function problemOfStream(attempt: Attempt): string | undefined {
  const {body, requestId, isComplete, expectedEvents} = attempt;
  const events = body.split('\n\n').slice(0, -1);
  for (const [index, event] of events.entries()) {
    const expected = `id: ${index + 1}\ndata: ${requestId} ${index + 1}`;
    if (event !== expected) return `event ${index + 1} is ${event}`;
  }
  if (isComplete && events.length !== expectedEvents) {
    return `complete with ${events.length} of ${expectedEvents} events`;
  }
  return undefined;
}
