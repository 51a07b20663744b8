import {createRandom} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';
import {ConnectionAdmission} from '../connectionAdmission.js';
import {LoopPace, SENT_AHEAD_PACE} from '../loopPace.js';

/** How an entry gets its processor. */
export const ProcessorKind = {
  /** Work takes longer, without interruptions. */
  SLOW: 'slow',
  /** Work runs at full speed until the time of a period is used up. */
  QUOTA: 'quota',
} as const;
export type ProcessorKind = (typeof ProcessorKind)[keyof typeof ProcessorKind];

/** An entry and the work of its callers, in processor time. */
export interface EntryModel {
  /** Processor time that the entry has in a second. */
  readonly cores: number;
  readonly kind: ProcessorKind;
  /** Work for each admitted connection soon after it was accepted. */
  readonly requestMs: number;
  /** Share of the connections whose requests are streams. */
  readonly streamShare: number;
  /** Work of a stream, spread over its duration. */
  readonly streamMs: number;
  readonly streamForMs: number;
  /** Further requests a second on each connection, until the entry ends it. */
  readonly keptRequestsPerS: number;
  /** Requests that are sent behind the first one of each connection of a burst. */
  readonly sentAhead?: number;
}

/** Requests of one span of a simulation. */
export interface SimulatedSpan {
  readonly arrived: number;
  readonly refused: number;
  readonly admitted: number;
  /** Admitted requests that were answered within `GOAL_MS`. */
  readonly inTime: number;
  /** Share of the processor time that was used. */
  readonly use: number;
}

/** Time from the arrival of a request to its answer that counts as in time. */
const GOAL_MS = 250;

/** Iterations of the event loop that a request takes. */
const STEPS = 4;

/** Work to accept and close a connection. */
const REFUSAL_MS = 0.1;

/** Time after which the loop looks again whether requests that were sent ahead may begin. */
const PACE_CHECK_MS = 1;

const QUOTA_PERIOD_MS = 100;
const SAMPLE_MS = 100;

interface Step {
  readonly workMs: number;
  readonly stepsLeft: number;
  readonly request?: Request;
}

/** The first request of a connection, or a later one. */
interface Request {
  readonly atMs: number;
  isRefused: boolean;
  answeredMs: number | undefined;
  /** Requests that wait behind it on its connection. */
  behind?: number;
}

interface Stream {
  nextMs: number;
  readonly endsMs: number;
}

const STREAM_EVENTS = 100;

/** Simulates the event loop of an entry, which accepts one connection an iteration. */
export class SimulatedEntry {
  readonly admission = new ConnectionAdmission();
  readonly pace = new LoopPace(SENT_AHEAD_PACE);
  private readonly requests: Request[] = [];
  /** Later requests, of which each is sent on an open connection. */
  private kept: Request[] = [];
  /** Share of the other entries that are saturated. */
  saturatedShare = 0;
  private readonly random: Random;
  private nowMs = 0;
  private nextArrivalMs = 0;
  private arrivalsPerS = 0;
  private backlog: Request[] = [];
  private ready: Step[] = [];
  private streams: Stream[] = [];
  /** Requests that were sent ahead and whose turn has come. */
  private due: Request[] = [];
  /** Of those, the ones that were begun. */
  begunAhead = 0;
  private idleMs = 0;
  private totalIdleMs = 0;
  private sampledAtMs = 0;
  private readonly usedMsAt: Array<{atMs: number; usedMs: number}> = [];
  private quotaLeftMs: number;
  private periodEndMs = QUOTA_PERIOD_MS;

  constructor(
    private readonly model: EntryModel,
    seed: number,
  ) {
    this.random = createRandom(seed);
    this.quotaLeftMs = model.cores * QUOTA_PERIOD_MS;
  }

  get timeMs(): number {
    return this.nowMs;
  }

  /** Lets connections arrive at a rate for a time. */
  run(arrivalsPerS: number, forMs: number): void {
    const endMs = this.nowMs + forMs;
    this.arrivalsPerS = arrivalsPerS;
    this.nextArrivalMs = this.nowMs + this.drawGapMs(arrivalsPerS);
    while (this.nowMs < endMs) this.iterate(endMs);
  }

  /** Connections that come at once, with requests that are sent ahead. */
  burst(connections: number): void {
    const {sentAhead = 0} = this.model;
    for (let index = 0; index < connections; index++) {
      this.backlog.push({
        atMs: this.nowMs,
        isRefused: false,
        answeredMs: undefined,
        behind: sentAhead,
      });
    }
  }

  /** What became of the requests that arrived in a span. */
  between(fromMs: number, untilMs = Number.POSITIVE_INFINITY): SimulatedSpan {
    const arrived = this.requests.filter(
      ({atMs}) => atMs >= fromMs && atMs < untilMs,
    );
    const admitted = arrived.filter(({isRefused}) => !isRefused);
    const inTime = admitted.filter(
      ({atMs, answeredMs = Number.POSITIVE_INFINITY}) =>
        answeredMs - atMs <= GOAL_MS,
    );
    const usedMs = this.usedMsAt
      .filter(({atMs}) => atMs >= fromMs && atMs < untilMs)
      .reduce((sum, used) => sum + used.usedMs, 0);
    const spanMs = Math.min(untilMs, this.nowMs) - fromMs;
    return {
      arrived: arrived.length,
      refused: arrived.length - admitted.length,
      admitted: admitted.length,
      inTime: inTime.length,
      use: usedMs / (spanMs * this.model.cores),
    };
  }

  private iterate(endMs: number): void {
    this.arrive();
    this.beginDue();
    if (this.backlog.length === 0 && this.ready.length === 0) {
      this.idle(endMs);
      return;
    }
    const steps = this.ready;
    this.ready = [];
    const request = this.backlog.shift();
    if (request !== undefined) this.accept(request);
    for (const step of steps) this.take(step);
  }

  /** Moves what has come up to now into the queues of the loop. */
  private arrive(): void {
    while (this.nextArrivalMs <= this.nowMs) {
      const atMs = this.nextArrivalMs;
      const request = {atMs, isRefused: false, answeredMs: undefined};
      this.requests.push(request);
      this.backlog.push(request);
      this.nextArrivalMs += this.drawGapMs(this.arrivalsPerS);
    }
    for (const request of this.kept) {
      if (request.atMs <= this.nowMs) this.start(request);
    }
    this.kept = this.kept.filter(({atMs}) => atMs > this.nowMs);
    const {streamMs, streamForMs} = this.model;
    this.streams = this.streams.filter(({endsMs}) => endsMs > this.nowMs);
    for (const stream of this.streams) {
      while (stream.nextMs <= this.nowMs) {
        const workMs = streamMs / STREAM_EVENTS;
        this.ready.push({workMs, stepsLeft: 0});
        stream.nextMs += streamForMs / STREAM_EVENTS;
      }
    }
  }

  /** Begins at most one in each iteration. */
  private beginDue(): void {
    const {due, nowMs} = this;
    if (due.length === 0 || !this.pace.take(nowMs, this.totalIdleMs)) return;
    this.begunAhead++;
    this.start(due.shift()!);
  }

  private idle(endMs: number): void {
    let untilMs = Math.min(endMs, this.nextArrivalMs);
    if (this.due.length > 0) {
      untilMs = Math.min(untilMs, this.nowMs + PACE_CHECK_MS);
    }
    for (const {atMs} of this.kept) untilMs = Math.min(untilMs, atMs);
    for (const {nextMs} of this.streams) untilMs = Math.min(untilMs, nextMs);
    this.idleMs += untilMs - this.nowMs;
    this.totalIdleMs += untilMs - this.nowMs;
    this.advance(untilMs);
  }

  private accept(request: Request): void {
    const {admission, model, nowMs} = this;
    const forMs = nowMs - this.sampledAtMs;
    if (forMs >= SAMPLE_MS) {
      const utilisation = Math.max(0, 1 - this.idleMs / forMs);
      const use = {forMs, utilisation, linkUtilisation: 0};
      admission.noteUse(use, nowMs, this.saturatedShare);
      this.sampledAtMs = nowMs;
      this.idleMs = 0;
    }
    if (!admission.admit(nowMs)) {
      request.isRefused = true;
      this.work(REFUSAL_MS);
      return;
    }
    this.start(request);
    if (this.random() >= model.streamShare) return;
    const endsMs = nowMs + model.streamForMs;
    this.streams.push({nextMs: nowMs + 500, endsMs: endsMs + 500});
  }

  private start(request: Request): void {
    const workMs = this.model.requestMs / STEPS;
    this.ready.push({workMs, stepsLeft: STEPS - 1, request});
  }

  private take({workMs, stepsLeft, request}: Step): void {
    this.work(workMs);
    if (stepsLeft > 0) {
      this.ready.push({workMs, stepsLeft: stepsLeft - 1, request});
    } else if (request !== undefined) {
      request.answeredMs = this.nowMs;
      const {behind = 0} = request;
      if (behind > 0) this.due.push({...request, behind: behind - 1});
      this.keep();
    }
  }

  /** Sends a further request on the connection of an answer, unless the answer ends it. */
  private keep(): void {
    const {keptRequestsPerS} = this.model;
    if (keptRequestsPerS === 0 || this.admission.takeRelease()) return;
    const atMs = this.nowMs + this.drawGapMs(keptRequestsPerS);
    const request = {atMs, isRefused: false, answeredMs: undefined};
    this.requests.push(request);
    this.kept.push(request);
  }

  /** Uses processor time. */
  private work(workMs: number): void {
    const {cores, kind} = this.model;
    this.usedMsAt.push({atMs: this.nowMs, usedMs: workMs});
    if (kind === ProcessorKind.SLOW) {
      this.advance(this.nowMs + workMs / cores);
      return;
    }
    const speed = Math.max(1, cores);
    let leftMs = workMs;
    while (leftMs > 0) {
      const partMs = Math.min(leftMs, this.quotaLeftMs);
      this.quotaLeftMs -= partMs;
      leftMs -= partMs;
      this.advance(this.nowMs + partMs / speed);
      if (leftMs > 0) this.advance(this.periodEndMs);
    }
  }

  private advance(toMs: number): void {
    this.nowMs = Math.max(this.nowMs, toMs);
    while (this.nowMs >= this.periodEndMs) {
      this.quotaLeftMs = this.model.cores * QUOTA_PERIOD_MS;
      this.periodEndMs += QUOTA_PERIOD_MS;
    }
  }

  private drawGapMs(perS: number): number {
    return (-Math.log(1 - this.random()) * 1_000) / perS;
  }
}
