import {createRandom, VirtualClock} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';
import {DrainRate} from '../drainRate.js';
import {drawRetryAround} from '../returnTime.js';
import {forecastReturnMs} from '../roomWait.js';
import type {RoomRequest} from '../roomWait.js';
import {SharedDemand} from '../sharedDemand.js';
import {SharedReturns} from '../sharedReturns.js';

const ENTRIES = 31;
const STEP_MS = 40;
const PROMPT_TOKENS = 3_280;
/** Room that becomes free, in prompts per second over all entries. */
const FREED_PER_S = 48;
/** Load after the burst. */
const NEWCOMERS_PER_S = 20;
/** Longest wait of a caller in the queue before it is refused. */
const QUEUE_MS = 460;
const REFUSED = 300;
const REFUSED_WITHIN_MS = 1_000;
/** The shortage has lasted as long when the first of the callers is refused. */
const SHORT_FOR_MS = 1_000;

interface Entry {
  readonly drain: DrainRate;
  readonly demand: SharedDemand;
  readonly returns: SharedReturns;
}

/** What became of the callers that were refused after a burst. */
export interface ReturnResult {
  /** Most callers that return within 250 ms. */
  readonly mostAtOnce: number;
  readonly foundRoom: number;
  /** Returns later than a third of the time that the caller had left. */
  readonly late: number;
  /** Returns earlier than any around the forecast of the caller. */
  readonly early: number;
}

/**
 * 31 entries refuse 300 callers within one second at the end of a burst; each caller has one
 * attempt left. `usesReturns` is false for forecasts alone.
 */
export async function returnAfterBurst(
  usesReturns: boolean,
  timeLeftMs: number,
  seed: number,
): Promise<ReturnResult> {
  const random = createRandom(seed);
  const clock = new VirtualClock();
  const entries = Array.from({length: ENTRIES}, (_, index) =>
    createEntry(`${index}`, clock, random),
  );
  const refusedAtMs = Array.from(
    {length: REFUSED},
    () => random() * REFUSED_WITHIN_MS,
  ).sort((a, b) => a - b);
  const returnsAtMs: number[] = [];
  let late = 0;
  let early = 0;
  for (let stepMs = 0; stepMs < REFUSED_WITHIN_MS; stepMs += STEP_MS) {
    while (refusedAtMs.length > 0 && refusedAtMs[0]! < stepMs + STEP_MS) {
      refusedAtMs.shift();
      const entry = entries[Math.floor(random() * ENTRIES)]!;
      const question = roomRequest(entry, SHORT_FOR_MS + stepMs);
      const forecastMs = forecastReturnMs(question);
      const drawnMs = drawRetryAround(forecastMs, random).retryAfterMs;
      const afterMs = usesReturns
        ? entry.returns.assign(
            {earliestMs: forecastMs, timeLeftMs, forecastMs: drawnMs},
            freedRoom(entry),
            entry.demand.dueElsewhere,
          )
        : drawnMs;
      if (afterMs > timeLeftMs / 3) late++;
      if (afterMs < 0.8 * forecastMs - 1) early++;
      returnsAtMs.push(clock.nowMs() + afterMs);
    }
    report(entries);
    await clock.advance(STEP_MS);
  }
  returnsAtMs.sort((a, b) => a - b);
  return {
    mostAtOnce: mostWithin(returnsAtMs, 250),
    foundRoom: serveReturns(returnsAtMs, random),
    late,
    early,
  };
}

/** An entry whose queue has drained for 3 s at its part of the rate. */
function createEntry(
  origin: string,
  clock: VirtualClock,
  random: Random,
): Entry {
  const drain = new DrainRate();
  const chance = (FREED_PER_S * STEP_MS) / 1_000 / ENTRIES;
  for (let ms = 0; ms < 3_000; ms += STEP_MS) {
    drain.note(STEP_MS, random() < chance ? PROMPT_TOKENS : 0);
  }
  const own = {origin, service: 's', entryCount: () => ENTRIES};
  return {
    drain,
    demand: new SharedDemand(own, clock),
    returns: new SharedReturns(clock, random),
  };
}

function roomRequest({drain}: Entry, shortForMs: number): RoomRequest {
  return {
    expectedWaitMs: drain.expectedWaitMs(PROMPT_TOKENS),
    waitedMs: QUEUE_MS,
    shortForMs,
    prefillMs: 400,
    goalLeftMs: 1_000,
  };
}

function freedRoom({drain}: Entry): {ownPerMs: number; entries: number} {
  const ownPerMs = (drain.measuredTokensPerMs ?? 0) / PROMPT_TOKENS;
  return {ownPerMs, entries: ENTRIES};
}

function report(entries: readonly Entry[]): void {
  for (const sender of entries) {
    const message = sender.demand.next({
      waitingUrgent: 0,
      waitingOthers: 1,
      uses: [],
      returns: sender.returns.due,
    });
    if (message === undefined) continue;
    for (const {demand} of entries) demand.note(message);
  }
}

function mostWithin(sortedMs: readonly number[], windowMs: number): number {
  let most = 0;
  let first = 0;
  sortedMs.forEach((atMs, index) => {
    while (sortedMs[first]! <= atMs - windowMs) first++;
    most = Math.max(most, index - first + 1);
  });
  return most;
}

/** Number of returning callers that get room before newcomers, within their wait. */
function serveReturns(returnsAtMs: readonly number[], random: Random): number {
  let waiting: number[] = [];
  let newcomers: number[] = [];
  let next = 0;
  let room = 0;
  let found = 0;
  for (let nowMs = 0; nowMs < 30_000; nowMs += STEP_MS) {
    while (next < returnsAtMs.length && returnsAtMs[next]! <= nowMs) {
      waiting.push(returnsAtMs[next++]!);
    }
    if (random() < (NEWCOMERS_PER_S * STEP_MS) / 1_000) newcomers.push(nowMs);
    room += (FREED_PER_S * STEP_MS) / 1_000;
    const isWaiting = (atMs: number): boolean => nowMs - atMs <= QUEUE_MS;
    waiting = waiting.filter(isWaiting);
    newcomers = newcomers.filter(isWaiting);
    for (; room >= 1 && waiting.length > 0; room--, found++) waiting.shift();
    for (; room >= 1 && newcomers.length > 0; room--) newcomers.shift();
    // Running generations use free room as they grow.
    room = Math.min(room, 4);
  }
  return found;
}
