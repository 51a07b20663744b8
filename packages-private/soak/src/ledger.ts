import {ORGANISATION, USUAL_DEADLINE_MS} from '@lilacledge/platform-standins';
import type {RecordedRun} from '@lilacledge/platform-standins';
import {systemClock} from '@lilacledge/shared';
import {DeadlineLedger} from './deadlineLedger.js';
import {DeadlyLedger} from './deadlyLedger.js';
import {GoneLedger} from './goneLedger.js';
import {LeaveLedger} from './leaveLedger.js';
import {RepeatLedger} from './repeatLedger.js';
import {EVACUATE_MS} from './zoneFaults.js';

/** What a caller asked for. */
export const AskKind = {
  DRAFT: 'draft',
  BOOKING: 'booking',
  LOOKUP: 'lookup',
} as const;
export type AskKind = (typeof AskKind)[keyof typeof AskKind];

/** The services of the configuration. */
export const SoakService = {DRAFTS: 'drafts', BOOKINGS: 'bookings'} as const;
export type SoakService = (typeof SoakService)[keyof typeof SoakService];

/** How often a request may begin to run, as its route says. */
const MOST_RUNS: Readonly<Record<AskKind, number>> = {
  draft: 1,
  booking: 1,
  lookup: 2,
};

/** Timeouts of the routes, or the callers' own deadline where that is shorter. */
const ROUTE_TIMEOUT_MS: Readonly<Record<AskKind, number>> = {
  draft: USUAL_DEADLINE_MS,
  booking: 2_000,
  lookup: 2_000,
};

/** A final answer comes within this time after the route's timeout (stated). */
const ANSWERED_AFTER_MS = 500;

/** So many without an answer, and this part of those that last so long, are too many (stated). */
const FEWEST_OVERDUE = 8;
const MOST_OVERDUE_SHARE = 0.25;

/** One client attempt as its caller saw it. */
export interface Attempt {
  readonly requestId: string;
  readonly kind: AskKind;
  readonly entry: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** 0 when the connection ended without an answer. */
  readonly status: number;
  readonly isComplete: boolean;
  readonly body: string;
  readonly signature?: string;
  /** Events that a whole draft has. */
  readonly expectedEvents?: number;
}

/** Statuses that promise that a request has not run and never will. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Everything that callers and endpoints saw in one soak. */
export class Ledger {
  readonly attempts: Attempt[] = [];
  readonly leaves = new LeaveLedger();
  readonly deadly = new DeadlyLedger();
  readonly repeats = new RepeatLedger();
  readonly deadlines = new DeadlineLedger();
  readonly gone = new GoneLedger();
  /** Ends of programs that nobody asked for. */
  readonly ownEnds: string[] = [];
  /** Of zones, by name. */
  readonly evacuations = new LeaveLedger(EVACUATE_MS);
  /** Zones of endpoints, by id. */
  private readonly zones = new Map<string, string>();
  private readonly sent = new Map<string, AskKind>();
  private readonly runs = new Map<string, RecordedRun[]>();
  /** When each endpoint last began to work. */
  private readonly lastRunMs = new Map<string, number>();

  /** An endpoint starts in a zone. */
  noteZone(endpointId: string, zone: string): void {
    this.zones.set(endpointId, zone);
  }

  /** Entries may not hear of leaves and of orders in this time. */
  noteDisturbed(fromMs: number, untilMs: number): void {
    this.leaves.noteDisturbed(fromMs, untilMs);
    this.evacuations.noteDisturbed(fromMs, untilMs);
    this.gone.noteDisturbed(fromMs, untilMs);
  }

  /** A caller is about to send a request. */
  noteSent(requestId: string, kind: AskKind): void {
    this.sent.set(requestId, kind);
    const service =
      kind === AskKind.DRAFT ? SoakService.DRAFTS : SoakService.BOOKINGS;
    this.repeats.noteRequest(service, systemClock.nowMs());
    this.deadlines.noteSent(requestId, USUAL_DEADLINE_MS);
  }

  /** A request reached an endpoint, which was given so much time for it. */
  noteArrival(
    service: SoakService,
    requestId: string,
    timeLeftMs: number | undefined,
  ): void {
    const nowMs = systemClock.nowMs();
    this.repeats.noteArrival(service, requestId, nowMs);
    this.deadlines.noteArrival(requestId, nowMs, timeLeftMs);
  }

  noteAttempt(attempt: Attempt): void {
    this.attempts.push(attempt);
  }

  noteRun(run: RecordedRun): void {
    this.lastRunMs.set(run.endpointId, run.atMs);
    this.gone.noteBegun(run.requestId, run.atMs);
    const known = this.runs.get(run.requestId) ?? [];
    known.push(run);
    this.runs.set(run.requestId, known);
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
      ...this.gone.violations(),
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
  return body === `answer of ${signature?.slice(2)} to ${requestId}`;
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
