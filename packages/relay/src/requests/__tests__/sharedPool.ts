import {ringSuccessors} from '@lilacledge/policy';
import {createRandom, sleep, VirtualClock} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';
import {DemandGossip} from '../../peers/demandGossip.js';
import type {Peer} from '../../peers/peerMesh.js';
import type {PeerMessage} from '../../peers/peerMessages.js';
import {ALL_ON} from '../../switches.js';
import type {Switches} from '../../switches.js';
import {AdmissionQueue} from '../admissionQueue.js';
import type {Admission} from '../admissionQueue.js';
import {FleetDemands} from '../fleetDemands.js';
import {FoundRoomTimer} from '../foundRoom.js';
import type {ActiveRun} from '../runRegistry.js';
import {runOf} from './fakeRun.js';

const ENTRIES = 31;
const SERVICE = 's';
const TOKENS = 3_000;
/** Lengths of runs are spread, as equal ones would free all room in waves. */
const MIN_RUN_MS = 2_000;
const MAX_RUN_MS = 6_000;
/** Runs that the engines hold together: two thirds of 99 requests per second for 4 s. */
const POOL_RUNS = 264;
const LARGE = 'large';
const CALLER_TIMEOUT_MS = 18_000;

/** A load on 31 entries, and what disturbs their links. */
export interface PoolLoad {
  readonly seed: number;
  readonly hasFleet: boolean;
  readonly durationMs: number;
  /** Probability that a frame between entries is lost. */
  readonly lossShare?: number;
  /** Interval at which one entry after the other is replaced, as in a rolling update. */
  readonly replaceEveryMs?: number;
  /** Switches of the two mechanisms; all are on if absent. */
  readonly switches?: Partial<Switches>;
  /** Requests per second at a time; 99 if absent. */
  readonly ratePerS?: (atMs: number) => number;
}

/** Shares of requests that got room, and how many. */
export interface PoolResult {
  readonly large: number;
  readonly others: number;
  /** Mean share of the pool in use, from the time at which it was first full. */
  readonly poolUse: number;
  /** When refused callers returned, in order. */
  readonly returnsAtMs: readonly number[];
  /** Share of the refused callers that found room when they returned. */
  readonly returnsServed: number;
}

/**
 * Serves 99 requests per second at 31 entries, of which one organisation of 24 sends ten
 * times as many as each of the others, with the queues and the gossip of production.
 */
export async function servePool(load: PoolLoad): Promise<PoolResult> {
  const pool = new Pool(load);
  for (let ms = 0; ms < load.durationMs; ms += 10) {
    pool.sendArrivals();
    await pool.clock.advance(10);
    pool.noteUse();
  }
  await pool.clock.advance(3_000);
  return pool.result;
}

class Pool {
  readonly clock = new VirtualClock();
  readonly random: Random;
  private readonly entries: PoolEntry[];
  private readonly asked = {large: 0, others: 0};
  private readonly taken = {large: 0, others: 0};
  usedRuns = 0;
  private readonly returnsAtMs: number[] = [];
  private returnsServed = 0;
  private usedRunSteps = 0;
  private steps = 0;

  constructor(readonly load: PoolLoad) {
    this.random = createRandom(load.seed);
    this.entries = Array.from(
      {length: ENTRIES},
      (_, index) => new PoolEntry(`entry-${index}`, this),
    );
    const names = this.entries.map(({name}) => name);
    for (const entry of this.entries) {
      for (const next of ringSuccessors(entry.name, names)) {
        link(entry, this.entries[names.indexOf(next)]!);
      }
    }
    if (load.replaceEveryMs !== undefined) this.replace(0);
  }

  get result(): PoolResult {
    const {asked, taken} = this;
    return {
      large: taken.large / asked.large,
      others: taken.others / asked.others,
      poolUse: this.usedRunSteps / this.steps / POOL_RUNS,
      returnsAtMs: this.returnsAtMs.sort((a, b) => a - b),
      returnsServed: this.returnsServed / this.returnsAtMs.length,
    };
  }

  noteUse(): void {
    if (this.steps === 0 && this.usedRuns < POOL_RUNS) return;
    this.steps++;
    this.usedRunSteps += this.usedRuns;
  }

  sendArrivals(): void {
    const perS = this.load.ratePerS?.(this.clock.nowMs()) ?? 99;
    const limit = Math.exp(-perS / 100);
    for (let product = this.random(); product > limit;) {
      const isLarge = this.random() < 10 / 33;
      const organisation = isLarge
        ? LARGE
        : `o${Math.floor(this.random() * 23)}`;
      const index = Math.floor(this.random() * ENTRIES);
      void this.serve(this.entries[index]!, organisation);
      product *= this.random();
    }
  }

  /** Room became free: queues see it in an order that changes. */
  recheck(): void {
    const first = Math.floor(this.random() * ENTRIES);
    for (let index = 0; index < ENTRIES; index++) {
      this.entries[(first + index) % ENTRIES]!.queue.recheck();
    }
  }

  private async serve(entry: PoolEntry, organisation: string): Promise<void> {
    const kind = organisation === LARGE ? 'large' : 'others';
    this.asked[kind]++;
    const deadlineMs = this.clock.nowMs() + CALLER_TIMEOUT_MS;
    const end = await entry.admit(organisation, deadlineMs);
    if (end.kind === 'taken') this.taken[kind]++;
    // Refused callers return only where the load falls, so that room is left for them.
    if (end.kind !== 'refused' || this.load.ratePerS === undefined) return;
    await sleep(this.clock, end.retryAfterMs);
    this.returnsAtMs.push(this.clock.nowMs());
    const index = Math.floor(this.random() * ENTRIES);
    const again = await this.entries[index]!.admit(organisation, deadlineMs);
    if (again.kind === 'taken') this.returnsServed++;
  }

  private replace(index: number): void {
    this.clock.after(this.load.replaceEveryMs!, () => {
      this.entries[index % ENTRIES]!.restart();
      this.replace(index + 1);
    });
  }
}

/** One entry, whose demand is lost and begins anew when it restarts. */
class PoolEntry {
  readonly links = new Set<PoolEntry>();
  queue!: AdmissionQueue<true>;
  private readonly runs = new Set<ActiveRun>();
  private demands!: FleetDemands;
  private gossip!: DemandGossip;
  private lives = 0;

  constructor(
    readonly name: string,
    private readonly pool: Pool,
  ) {
    this.start();
  }

  /** Replaces the process; its queue and runs go on, as those of one that leaves do. */
  restart(): void {
    this.demands.stop();
    this.gossip.stop();
    this.start();
  }

  async admit(
    organisation: string,
    deadlineMs: number,
  ): Promise<Admission<true>> {
    const {clock, load} = this.pool;
    const arrivedMs = clock.nowMs();
    const found = new FoundRoomTimer(clock);
    return this.queue.admit({
      position: {
        organisationRank: 0,
        routeRank: 0,
        latestStartMs: arrivedMs + 1_100,
        deadlineMs,
      },
      organisation: load.hasFleet ? organisation : undefined,
      tokens: TOKENS,
      signal: new AbortController().signal,
      tryReserve: (owedTokens) => {
        const places = POOL_RUNS - this.pool.usedRuns;
        if (found.leavesRoom(places, TOKENS, owedTokens)) return undefined;
        return places > 0 ? this.startRun(organisation) : undefined;
      },
      outlook: () => {
        const waitedMs = clock.nowMs() - arrivedMs;
        return {waitedMs, prefillMs: 400, goalLeftMs: 1_500 - waitedMs};
      },
    });
  }

  private start(): void {
    const {clock, load} = this.pool;
    this.demands = new FleetDemands({
      clock,
      random: createRandom(load.seed),
      switches: {...ALL_ON, ...load.switches},
      origin: `${this.name} ${this.lives++}`,
      entryCount: () => ENTRIES,
      runs: () => this.runs,
      rankOf: () => 0,
    });
    this.gossip = new DemandGossip(clock, this.demands, () =>
      [...this.links].map((other) => other.asPeerOf(this)),
    );
    this.queue = new AdmissionQueue(
      clock,
      createRandom(load.seed),
      {...ALL_ON, ...load.switches},
      this.demands.of(SERVICE),
    );
  }

  private startRun(organisation: string): true {
    const {pool, runs} = this;
    const run = runOf(organisation, TOKENS, SERVICE);
    runs.add(run);
    pool.usedRuns++;
    const spreadMs = pool.random() * (MAX_RUN_MS - MIN_RUN_MS);
    pool.clock.after(MIN_RUN_MS + spreadMs, () => {
      runs.delete(run);
      pool.usedRuns--;
      pool.recheck();
    });
    return true;
  }

  private asPeerOf(sender: PoolEntry): Peer {
    const {clock, random, load} = this.pool;
    return {
      hello: {
        type: 'hello',
        instance: this.name,
        role: 'entry',
        zone: 'z',
        readsTypes: ['demand'],
      },
      send: (message) => {
        if (random() < (load.lossShare ?? 0)) return;
        clock.after(5, () => this.receive(message, sender));
      },
      close: () => {},
    };
  }

  private receive(message: PeerMessage, sender: PoolEntry): void {
    if (message.type !== 'demand') return;
    this.gossip.receive(sender.asPeerOf(this), message);
  }
}

function link(a: PoolEntry, b: PoolEntry): void {
  a.links.add(b);
  b.links.add(a);
}
