import {CallTimes} from '@lilacledge/policy';
import {createRandom, VirtualClock} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';
import {testRecord} from '../../__tests__/testRecord.js';
import {chooseForCall} from '../../endpoints/chooseEndpoint.js';
import {Endpoint} from '../../endpoints/endpoint.js';
import {ALL_ON} from '../../switches.js';

/** Figures of deployment A in docs/design/hardLoad.md. */
const SLOTS = 6;
const MEDIAN_WORK_MS = 43;
const SLOW_PACE = 2.5;
const SLOW_MS = 600;
const SLOW_SHARE = 0.15;
const GOAL_MS = 196;
const CALLS_PER_S = 73.9;
const READ_SHARE = 21.1 / CALLS_PER_S;

/** Standard deviation of the logarithm of the work of a call. */
const WORK_LOG_STD_DEV = 0.5;

/** One way between an entry and an endpoint. */
const HOP_MS = 1;

const ENDPOINTS = ['a', 'b', 'c'];

interface Work {
  readonly workMs: number;
  readonly done: () => void;
}

/** A server with slots that is slow in intervals of `SLOW_MS`. */
class UnevenServer {
  running = 0;
  private readonly waiting: Work[] = [];
  /** Times at which the pace changes; it is usual before the first. */
  private readonly changesMs: number[] = [];

  constructor(
    private readonly clock: VirtualClock,
    random: Random,
    untilMs: number,
  ) {
    const usualMs = (SLOW_MS * (1 - SLOW_SHARE)) / SLOW_SHARE;
    for (let atMs = 0; atMs < untilMs; atMs += SLOW_MS) {
      atMs += -Math.log(1 - random()) * usualMs;
      this.changesMs.push(atMs, atMs + SLOW_MS);
    }
  }

  get load(): {running: number; waiting: number; slots: number} {
    const {running, waiting} = this;
    return {running, waiting: waiting.length, slots: SLOTS};
  }

  get pace(): number {
    const nowMs = this.clock.nowMs();
    const passed = this.changesMs.findIndex((atMs) => atMs > nowMs);
    return passed % 2 === 1 ? SLOW_PACE : 1;
  }

  serve(work: Work): void {
    if (this.running >= SLOTS) this.waiting.push(work);
    else this.begin(work);
  }

  private begin({workMs, done}: Work): void {
    this.running++;
    this.clock.after(this.timeForMs(workMs), () => {
      this.running--;
      const next = this.waiting.shift();
      if (next !== undefined) this.begin(next);
      done();
    });
  }

  /** How long work that begins now takes through the changes of the pace. */
  private timeForMs(workMs: number): number {
    const startMs = this.clock.nowMs();
    let nowMs = startMs;
    let leftMs = workMs;
    for (const [index, changeMs] of this.changesMs.entries()) {
      if (changeMs <= nowMs) continue;
      const pace = index % 2 === 1 ? SLOW_PACE : 1;
      const doneMs = nowMs + leftMs * pace;
      if (doneMs <= changeMs) return doneMs - startMs;
      leftMs -= (changeMs - nowMs) / pace;
      nowMs = changeMs;
    }
    return nowMs + leftMs - startMs;
  }
}

/** What became of the calls. */
export interface CallCounts {
  calls: number;
  inTime: number;
  reads: number;
  readsInTime: number;
  hedged: number;
}

/** One entry with its own view of the endpoints. */
class UnevenEntry {
  private readonly endpoints: readonly Endpoint[];
  private readonly times = new CallTimes();

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: Random,
    private readonly servers: ReadonlyMap<string, UnevenServer>,
    private readonly counts: CallCounts,
    engineSpeeds: boolean,
  ) {
    const switches = {...ALL_ON, engineSpeeds};
    this.endpoints = ENDPOINTS.map(
      (id) => new Endpoint(testRecord({id}), 0, () => {}, switches),
    );
  }

  /** Serves a call as `CallSends` does: one send, and for a late read a second one. */
  call(workMs: number, isRead: boolean): void {
    const {clock, counts} = this;
    const startMs = clock.nowMs();
    const tried = new Set<string>();
    let isAnswered = false;
    counts.calls++;
    if (isRead) counts.reads++;
    const answer = (): void => {
      if (isAnswered) return;
      isAnswered = true;
      if (clock.nowMs() - startMs > GOAL_MS) return;
      counts.inTime++;
      if (isRead) counts.readsInTime++;
    };
    const first = this.choose(tried);
    const pace = first.speed.slowness(startMs);
    const hedgeAfterMs = this.times.hedgeAfterMs(pace, GOAL_MS);
    this.send(first, workMs, answer);
    if (!isRead) return;
    clock.after(hedgeAfterMs, () => {
      if (isAnswered) return;
      counts.hedged++;
      this.send(this.choose(tried), workMs, answer);
    });
  }

  private choose(tried: Set<string>): Endpoint {
    const {clock, random} = this;
    const nowMs = clock.nowMs();
    const choice = chooseForCall(this.endpoints, tried, {
      zone: 'north',
      nowMs,
      random,
      drainMs: 2_000,
    });
    tried.add(choice!.endpoint.id);
    return choice!.endpoint;
  }

  private send(endpoint: Endpoint, workMs: number, done: () => void): void {
    const {clock} = this;
    const server = this.servers.get(endpoint.id)!;
    const sentMs = clock.nowMs();
    const pace = endpoint.speed.slowness(sentMs);
    endpoint.outstanding++;
    const receive = (): void => {
      const value = {...server.load, pacePercent: server.pace * 100};
      clock.after(HOP_MS, () => {
        endpoint.outstanding--;
        endpoint.noteLoad(value, clock.nowMs());
        this.times.note(clock.nowMs() - sentMs, pace);
        done();
      });
    };
    clock.after(HOP_MS, () => server.serve({workMs, done: receive}));
  }
}

/** Sends the calls of deployment A to three uneven endpoints over `entryCount` entries. */
export async function callUnevenEndpoints(options: {
  readonly entryCount: number;
  readonly forMs: number;
  readonly engineSpeeds: boolean;
  readonly seed: number;
}): Promise<CallCounts> {
  const {entryCount, forMs, engineSpeeds, seed} = options;
  const clock = new VirtualClock();
  const counts = {calls: 0, inTime: 0, reads: 0, readsInTime: 0, hedged: 0};
  const servers = new Map(
    ENDPOINTS.map((id, index) => [
      id,
      new UnevenServer(clock, createRandom(seed * 10 + index), 2 * forMs),
    ]),
  );
  const entries = Array.from({length: entryCount}, (_, index) => {
    const random = createRandom(seed * 1_000 + index);
    return new UnevenEntry(clock, random, servers, counts, engineSpeeds);
  });
  // The same calls with and without the mechanism.
  const random = createRandom(seed);
  let atMs = 0;
  while ((atMs += (-Math.log(1 - random()) * 1_000) / CALLS_PER_S) < forMs) {
    const entry = entries[Math.floor(random() * entryCount)]!;
    const workMs = drawWorkMs(random);
    const isRead = random() < READ_SHARE;
    clock.after(atMs, () => entry.call(workMs, isRead));
  }
  await clock.advance(forMs + 5_000);
  return counts;
}

/** Draws a log-normal time; the sum of 12 uniforms is nearly normal. */
function drawWorkMs(random: Random): number {
  let sum = -6;
  for (let index = 0; index < 12; index++) sum += random();
  return MEDIAN_WORK_MS * Math.exp(WORK_LOG_STD_DEV * sum);
}
