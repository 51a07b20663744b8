import {createRandom} from '@lilacledge/shared';
import {ConnectionAdmission} from '../connectionAdmission.js';

/** Entries that are overloaded together, and callers that try several of them. */
export interface FleetOverload {
  /** Arrivals during the overload, as a multiple of what all entries can serve. */
  readonly factor: number;
  readonly forMs: number;
  readonly isLimiting: boolean;
  readonly seed: number;
}

/** What became of the callers of an overload and of the calmer time after it. */
export interface FleetResult {
  readonly callers: number;
  readonly served: number;
  /** Callers that met only entries which closed their connections. */
  readonly sentAway: number;
  /** Callers that could have been served at full use. */
  readonly servable: number;
}

const ENTRIES = 8;
const CORES = 0.1;
const REQUEST_MS = 4;
const REFUSAL_MS = 0.1;

/** Entries that a caller tries. */
const MAX_TRIES = 4;

/** Time after which a caller gives up. */
const DEADLINE_MS = 3_000;

/** Load after the overload, and for how long. */
const CALM_FACTOR = 0.6;
const CALM_MS = 8_000;

/** Time in which a request that arrived at the end is served. */
const DRAIN_MS = 6_000;

const STEP_MS = 5;
const SAMPLE_MS = 100;
const NOTICE_MS = 3_000;

/** A caller whose request an entry has taken. */
export interface TakenCaller {
  readonly arrivedMs: number;
  isServed: boolean;
}

interface Waiting {
  readonly caller: TakenCaller;
  workMs: number;
}

/** What callers cost an entry, and how long they wait. */
export interface QueueModel {
  readonly deadlineMs: number;
  /** Work that a request takes whose caller has left. */
  readonly expiredMs: number;
}

/** An entry with a share of a processor, which serves requests in order of arrival. */
export class QueueingEntry {
  readonly admission = new ConnectionAdmission();
  /** Share of its usual speed that the entry works at. */
  speed = 1;
  private saturatedUntilMs = 0;
  private queue: Waiting[] = [];
  private busyMs = 0;
  private sampledAtMs = 0;

  constructor(private readonly model: QueueModel) {}

  takes(caller: TakenCaller, nowMs: number, isLimiting = true): boolean {
    const isAdmitted = this.admission.admit(nowMs);
    if (isLimiting && !isAdmitted) {
      this.busyMs += REFUSAL_MS;
      return false;
    }
    this.queue.push({caller, workMs: REQUEST_MS});
    return true;
  }

  work(nowMs: number): void {
    let leftMs = STEP_MS * CORES * this.speed;
    this.expire(nowMs);
    for (;;) {
      const [next] = this.queue;
      if (next === undefined || leftMs <= 0) break;
      const workMs = Math.min(leftMs, next.workMs);
      next.workMs -= workMs;
      leftMs -= workMs;
      this.busyMs += workMs;
      if (next.workMs > 0) break;
      this.queue.shift();
      next.caller.isServed = !this.isExpired(next, nowMs);
    }
  }

  sample(nowMs: number, others: readonly QueueingEntry[]): void {
    const forMs = nowMs - this.sampledAtMs;
    if (forMs < SAMPLE_MS) return;
    this.sampledAtMs = nowMs;
    const utilisation = Math.min(1, this.busyMs / (forMs * CORES * this.speed));
    this.busyMs = 0;
    const saturated = others.filter((other) => other.saturatedUntilMs > nowMs);
    const use = {forMs, utilisation, linkUtilisation: 0};
    this.admission.noteUse(use, nowMs, saturated.length / others.length);
    const {isSaturated} = this.admission;
    this.saturatedUntilMs = isSaturated ? nowMs + NOTICE_MS : nowMs;
  }

  private isExpired({caller}: Waiting, nowMs: number): boolean {
    return nowMs - caller.arrivedMs > this.model.deadlineMs;
  }

  private expire(nowMs: number): void {
    const {expiredMs} = this.model;
    for (const waiting of this.queue) {
      if (!this.isExpired(waiting, nowMs)) break;
      waiting.workMs = Math.min(waiting.workMs, expiredMs);
    }
    this.queue = this.queue.filter(({workMs}) => workMs > 0);
  }
}

/** Entries of which one gets most new connections for a while. */
export interface FleetCrowd {
  /** Arrivals as a share of what all entries can serve. */
  readonly load: number;
  /** Speed of all entries in the slow moments of the crowd, as a share of the usual one. */
  readonly slowSpeed: number;
  /** Entries that a caller tries. */
  readonly maxTries: number;
  readonly seed: number;
}

const CROWDED_ENTRIES = 4;

/** Share of the new connections that the crowded entry gets before the others get theirs. */
const CROWDED_SHARE = 0.7;

const CROWD_MODEL: QueueModel = {deadlineMs: 600, expiredMs: 2.5};
const BEFORE_CROWD_MS = 4_000;
const CROWD_MS = 9_000;

/** From this time of a crowd on, callers must be served nearly as often as before. */
const CONTACT_MS = 3_000;

/** Each period has one slow moment. */
const SLOW_PERIOD_MS = 3_000;
const SLOW_FOR_MS = 500;

/** Plays a crowd; returns the share served from the contact time on, over the share before it. */
export function playCrowd(crowd: FleetCrowd): number {
  const {load, slowSpeed, maxTries, seed} = crowd;
  const random = createRandom(seed);
  const entries = Array.from(
    {length: CROWDED_ENTRIES},
    () => new QueueingEntry(CROWD_MODEL),
  );
  const perMs = (load * CROWDED_ENTRIES * CORES) / REQUEST_MS;
  const endMs = BEFORE_CROWD_MS + CROWD_MS;
  const callers: TakenCaller[] = [];
  let nextMs = 0;
  for (
    let nowMs = 0;
    nowMs < endMs + CROWD_MODEL.deadlineMs;
    nowMs += STEP_MS
  ) {
    const isSlow = nowMs % SLOW_PERIOD_MS < SLOW_FOR_MS;
    for (const entry of entries) entry.speed = isSlow ? slowSpeed : 1;
    while (nextMs <= nowMs && nowMs < endMs) {
      nextMs += -Math.log(1 - random()) / perMs;
      const isCrowding = nowMs >= BEFORE_CROWD_MS && random() < CROWDED_SHARE;
      const order = shuffled(entries, random);
      const tried = isCrowding ? [...new Set([entries[0]!, ...order])] : order;
      const caller = {arrivedMs: nowMs, isServed: false};
      callers.push(caller);
      tried.slice(0, maxTries).some((entry) => entry.takes(caller, nowMs));
    }
    workAll(entries, nowMs);
  }
  const before = servedShare(callers, 0, BEFORE_CROWD_MS);
  const during = servedShare(callers, BEFORE_CROWD_MS + CONTACT_MS, endMs);
  return during / before;
}

/** Plays an overload of all entries, and what follows it. */
export function playOverload(overload: FleetOverload): FleetResult {
  const {factor, forMs, isLimiting, seed} = overload;
  const random = createRandom(seed);
  const model = {deadlineMs: DEADLINE_MS, expiredMs: 0};
  const entries = Array.from({length: ENTRIES}, () => new QueueingEntry(model));
  const callers: TakenCaller[] = [];
  const capacityPerMs = (ENTRIES * CORES) / REQUEST_MS;
  const endMs = forMs + CALM_MS;
  let sentAway = 0;
  let nextMs = 0;
  for (let nowMs = 0; nowMs < endMs + DRAIN_MS; nowMs += STEP_MS) {
    const load = nowMs < forMs ? factor : CALM_FACTOR;
    while (nextMs <= nowMs && nowMs < endMs) {
      nextMs += -Math.log(1 - random()) / (capacityPerMs * load);
      const tried = shuffled(entries, random).slice(0, MAX_TRIES);
      const caller = {arrivedMs: nowMs, isServed: false};
      callers.push(caller);
      const isTaken = tried.some((entry) =>
        entry.takes(caller, nowMs, isLimiting),
      );
      if (!isTaken) sentAway++;
    }
    workAll(entries, nowMs);
  }
  const served = callers.filter(({isServed}) => isServed).length;
  const servable = capacityPerMs * (forMs + CALM_FACTOR * CALM_MS);
  return {callers: callers.length, served, sentAway, servable};
}

function workAll(entries: readonly QueueingEntry[], nowMs: number): void {
  for (const entry of entries) {
    entry.work(nowMs);
    const others = entries.filter((other) => other !== entry);
    entry.sample(nowMs, others);
  }
}

function shuffled<T>(values: readonly T[], random: () => number): T[] {
  return values
    .map((value) => ({value, rank: random()}))
    .sort((first, second) => first.rank - second.rank)
    .map(({value}) => value);
}

/** Share of the callers of a span that were served. */
function servedShare(
  callers: readonly TakenCaller[],
  fromMs: number,
  untilMs: number,
): number {
  const arrived = callers.filter(
    ({arrivedMs}) => arrivedMs >= fromMs && arrivedMs < untilMs,
  );
  return arrived.filter(({isServed}) => isServed).length / arrived.length;
}
