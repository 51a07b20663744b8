import {createRandom} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';
import {DrainRate} from '../drainRate.js';
import {areAboveShare, leavesRoom, owedTokens} from '../organisationShares.js';
import type {OrganisationUse} from '../organisationShares.js';
import {decideRoom} from '../roomWait.js';
import {compareWaiting} from '../waitingOrder.js';

const STEP_MS = 40;
const RUN_MS = 4_000;
const RUN_TOKENS = 3_000;
const READ_MS = 400;
const GOAL_MS = 1_500;
const CALLER_TIMEOUT_MS = 6_000;
/** Steps after which an entry knows the use of the others again: every 240 ms. */
const REPORT_STEPS = 6;

/** Load on a pool of memory that several entries share. */
export interface OrganisationLoad {
  readonly entries: number;
  /** Runs that the pool holds at the same time. */
  readonly poolRuns: number;
  /** Requests per second, by organisation. */
  readonly perS: ReadonlyMap<string, number>;
  readonly durationMs: number;
  readonly usesShares: boolean;
}

/** What became of the requests of one organisation. */
export interface OrganisationTally {
  asked: number;
  inTime: number;
}

export interface LoadResult {
  readonly tallies: ReadonlyMap<string, OrganisationTally>;
  /** Mean share of the pool that is in use. */
  readonly poolUse: number;
}

interface WaitingRequest {
  readonly organisation: string;
  readonly arrivedMs: number;
  isAboveShare: boolean;
  roomSinceMs: number | undefined;
}

interface Entry {
  waiting: WaitingRequest[];
  readonly drain: DrainRate;
}

/** Serves a load for its duration, with the queue of each entry as in production. */
export function serveLoad(load: OrganisationLoad, seed: number): LoadResult {
  const random = createRandom(seed);
  const entries: Entry[] = Array.from({length: load.entries}, () => ({
    waiting: [],
    drain: new DrainRate(),
  }));
  const tallies = new Map(
    [...load.perS.keys()].map((name) => [name, {asked: 0, inTime: 0}]),
  );
  const runs: Array<{organisation: string; endMs: number}> = [];
  let reported = new Map<string, OrganisationUse>();
  let usedRunSteps = 0;
  let steps = 0;
  for (let nowMs = 0; nowMs < load.durationMs; nowMs += STEP_MS) {
    while (runs.length > 0 && runs[0]!.endMs <= nowMs) runs.shift();
    for (const [organisation, perS] of load.perS) {
      for (let n = drawArrivals(perS, random); n > 0; n--) {
        const entry = entries[Math.floor(random() * entries.length)]!;
        entry.waiting.push({
          organisation,
          arrivedMs: nowMs,
          isAboveShare: false,
          roomSinceMs: undefined,
        });
        tallies.get(organisation)!.asked++;
      }
    }
    if (steps % REPORT_STEPS === 0) reported = usesOf(runs, entries);
    const first = Math.floor(random() * entries.length);
    for (let index = 0; index < entries.length; index++) {
      const entry = entries[(first + index) % entries.length]!;
      const freeRuns = load.poolRuns - runs.length;
      const admitted = processEntry(entry, load, reported, nowMs, freeRuns);
      for (const {organisation, arrivedMs} of admitted) {
        runs.push({organisation, endMs: nowMs + RUN_MS});
        const isInTime = nowMs - arrivedMs + READ_MS <= GOAL_MS;
        if (isInTime) tallies.get(organisation)!.inTime++;
      }
    }
    usedRunSteps += runs.length;
    steps++;
  }
  const poolUse = usedRunSteps / (steps * load.poolRuns);
  return {tallies, poolUse};
}

/** Admits what has room, in order, and refuses what is unlikely to get room in time. */
function processEntry(
  entry: Entry,
  load: OrganisationLoad,
  reported: ReadonlyMap<string, OrganisationUse>,
  nowMs: number,
  freeRuns: number,
): WaitingRequest[] {
  const before = entry.waiting.length;
  if (before === 0) return [];
  order(entry.waiting, nowMs);
  if (load.usesShares) {
    const flags = areAboveShare(
      entry.waiting.map(({organisation}) => ({
        organisation,
        tokens: RUN_TOKENS,
      })),
      reported,
    );
    entry.waiting.forEach((item, index) => {
      item.isAboveShare = flags[index]!;
    });
    order(entry.waiting, nowMs);
  }
  const admitted: WaitingRequest[] = [];
  let aheadTokens = 0;
  const owed = load.usesShares ? owedElsewhere(entry, reported) : 0;
  entry.waiting = entry.waiting.filter((item) => {
    if (mayTakeRoom(item, freeRuns - admitted.length, owed, nowMs)) {
      admitted.push(item);
      return false;
    }
    aheadTokens += RUN_TOKENS;
    const waitedMs = nowMs - item.arrivedMs;
    const {kind} = decideRoom(
      {
        expectedWaitMs: entry.drain.expectedWaitMs(aheadTokens),
        waitedMs,
        shortForMs: 0,
        prefillMs: READ_MS,
        goalLeftMs: GOAL_MS - waitedMs,
      },
      () => 0.5,
    );
    if (kind === 'wait') return true;
    aheadTokens -= RUN_TOKENS;
    return false;
  });
  entry.drain.note(STEP_MS, admitted.length * RUN_TOKENS);
  return admitted;
}

/** What is owed at other entries: requests below their share go first at this one. */
function owedElsewhere(
  {waiting}: Entry,
  reported: ReadonlyMap<string, OrganisationUse>,
): number {
  const ownBelow = waiting.filter(({isAboveShare}) => !isAboveShare).length;
  return Math.max(0, owedTokens(reported) - ownBelow * RUN_TOKENS);
}

function mayTakeRoom(
  item: WaitingRequest,
  places: number,
  owed: number,
  nowMs: number,
): boolean {
  if (places <= 0) {
    item.roomSinceMs = undefined;
    return false;
  }
  if (!item.isAboveShare) return true;
  item.roomSinceMs ??= nowMs;
  return !leavesRoom({
    places,
    foundForMs: nowMs - item.roomSinceMs,
    needTokens: RUN_TOKENS,
    owedTokens: owed,
  });
}

function order(waiting: WaitingRequest[], nowMs: number): void {
  const toPosition = ({arrivedMs, isAboveShare}: WaitingRequest) => ({
    organisationRank: 0,
    routeRank: 0,
    latestStartMs: arrivedMs + GOAL_MS - READ_MS,
    deadlineMs: arrivedMs + CALLER_TIMEOUT_MS,
    isAboveShare,
  });
  waiting.sort((a, b) => compareWaiting(toPosition(a), toPosition(b), nowMs));
}

function usesOf(
  runs: ReadonlyArray<{organisation: string}>,
  entries: readonly Entry[],
): Map<string, OrganisationUse> {
  const uses = new Map<string, OrganisationUse>();
  const add = (name: string, used: number, waiting: number): void => {
    const known = uses.get(name) ?? {usedTokens: 0, waitingTokens: 0};
    uses.set(name, {
      usedTokens: known.usedTokens + used,
      waitingTokens: known.waitingTokens + waiting,
    });
  };
  for (const {organisation} of runs) add(organisation, RUN_TOKENS, 0);
  for (const {waiting} of entries) {
    for (const {organisation} of waiting) add(organisation, 0, RUN_TOKENS);
  }
  return uses;
}

/** Number of arrivals of a Poisson process in one step. */
function drawArrivals(perS: number, random: Random): number {
  const limit = Math.exp((-perS * STEP_MS) / 1_000);
  let count = 0;
  for (let product = random(); product > limit; product *= random()) count++;
  return count;
}
