import {EventEmitter} from 'node:events';
import type {ServerResponse} from 'node:http';
import {
  EnginePace,
  PauseRisk,
  PromptSizes,
  UrgentReserve,
} from '@lilacledge/policy';
import {createRandom, VirtualClock} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';
import {RouteTable} from '../config/routeTable.js';
import {Endpoint} from '../endpoints/endpoint.js';
import type {SendPermit} from '../endpoints/sendLimits.js';
import {ZoneLoads} from '../endpoints/zoneLoads.js';
import {silentLog} from '../log/boundedLog.js';
import {RequestClass} from '../model/index.js';
import type {GenerationSize, Route, ServingConfig} from '../model/index.js';
import type {QueriedPrompt} from '../peers/loadQueries.js';
import {AdmissionQueue} from '../requests/admissionQueue.js';
import {CallerExchange} from '../requests/callerExchange.js';
import {createRun} from '../requests/createRun.js';
import {GenerationAdmission} from '../requests/generationAdmission.js';
import type {EngineReservation} from '../requests/generationAdmission.js';
import type {RelayContext} from '../requests/relayContext.js';
import {RunRegistry} from '../requests/runRegistry.js';
import {ALL_ON} from '../switches.js';
import type {Switches} from '../switches.js';
import {ENGINE_TRAITS, SimulatedEngine} from './simulatedEngine.js';
import {testRecord} from './testRecord.js';

/*
 * Simulates callers of two routes that compete for the engines of one service, at a quarter of
 * the size of the deployment with competing callers. Entries admit with the product's code and
 * the engines and sidecars are simulated; nothing is sent over a network.
 */

const SERVICE = 'letters';

/** Time between two reports of an engine to its sidecar, and of a sidecar to the entries. */
const POLL_MS = 60;
const REPORT_MS = 120;

/** Round trip of a load query. */
const QUERY_MS = 2;

/** Arrivals are drawn in steps. */
const STEP_MS = 10;

interface RouteLoad {
  readonly route: Route;
  readonly perSecond: number;
  readonly meanPromptTokens: number;
  /** Standard deviation of the logarithm of the prompt length. */
  readonly spread: number;
  readonly meanOutputTokens: number;
}

const VERDICTS: RouteLoad = {
  route: streamingRoute('verdicts', 0, 1_504, 6_000),
  perSecond: 7.9,
  meanPromptTokens: 2_550,
  spread: 0.6,
  meanOutputTokens: 12,
};
const REVIEWS: RouteLoad = {
  route: streamingRoute('reviews', 2, 4_006, 39_000),
  perSecond: 4.05,
  meanPromptTokens: 3_080,
  spread: 0.35,
  meanOutputTokens: 752,
};

/** What became of one generation. */
export interface Outcome {
  readonly route: string;
  readonly promptTokens: number;
  readonly arrivedMs: number;
  readonly goalMs: number;
  /** Time from its arrival to its first event; undefined if it was refused. */
  firstEventMs?: number;
  /** Time from its arrival to its refusal. */
  refusedMs?: number;
}

/** The load of one simulation. */
export interface CompetingLoad {
  readonly seed: number;
  readonly engines: number;
  readonly entries: number;
  readonly durationMs: number;
  /** Multiplies the rate of verdicts at a time. */
  verdictFactor(nowMs: number): number;
  /** Multiplies the rate of reviews at a time. */
  reviewFactor(nowMs: number): number;
  /** False for engines that ignore priorities. */
  readonly enginesOrder: boolean;
  readonly switches: Partial<Switches>;
  /** Entries that run with the order switched off, like those of the former build. */
  readonly formerEntries?: number;
  /** False for engines whose sidecars are away. */
  readonly hasSidecars?: boolean;
  /** Replaces the latency goal of reviews. */
  readonly reviewGoalMs?: number;
}

/** Simulates the load; resolves with the outcomes in order of arrival. */
export async function simulateCompetingCallers(
  load: CompetingLoad,
): Promise<Outcome[]> {
  const clock = new VirtualClock();
  const random = createRandom(load.seed);
  // Of its own, so that decisions don't change what arrives.
  const arrivals = createRandom(load.seed + 1_000);
  const engines = Array.from(
    {length: load.engines},
    (_, index) => new SimulatedEngine(`e-${index}`, clock, load.enginesOrder),
  );
  const {formerEntries = 0, hasSidecars = true, reviewGoalMs} = load;
  const reviews = withGoal(REVIEWS, reviewGoalMs);
  const table = new RouteTable(config(reviews));
  const entries = Array.from({length: load.entries}, (_, index) => {
    const isFormer = index < formerEntries;
    const former = {...load.switches, engineOrder: false};
    const switches = {...ALL_ON, ...(isFormer ? former : load.switches)};
    return new SimulatedEntry(clock, random, engines, table, load, switches);
  });
  repeat(clock, POLL_MS, () => {
    for (const engine of engines) engine.poll();
  });
  repeat(clock, REPORT_MS, () => {
    if (!hasSidecars) return;
    for (const entry of entries) entry.noteReports();
  });
  const outcomes: Outcome[] = [];
  repeat(clock, STEP_MS, () => {
    const nowMs = clock.nowMs();
    if (nowMs >= load.durationMs) return;
    for (const [routeLoad, factor] of [
      [VERDICTS, load.verdictFactor(nowMs)],
      [reviews, load.reviewFactor(nowMs)],
    ] as const) {
      const mean = (routeLoad.perSecond * factor * STEP_MS) / 1_000;
      for (let count = drawCount(mean, arrivals); count > 0; count--) {
        const entry = entries[Math.floor(arrivals() * entries.length)]!;
        outcomes.push(entry.arrive(routeLoad, arrivals));
      }
    }
  });
  await clock.advance(load.durationMs + 8_000);
  return outcomes;
}

class SimulatedEntry {
  private readonly endpoints: ReadonlyMap<Endpoint, SimulatedEngine>;
  private readonly context: RelayContext;
  private readonly queue: AdmissionQueue<EngineReservation>;

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: Random,
    engines: readonly SimulatedEngine[],
    private readonly table: RouteTable,
    private readonly load: CompetingLoad,
    switches: Switches,
  ) {
    this.endpoints = new Map(
      engines.map((engine) => {
        const record = testRecord({id: engine.id, service: SERVICE});
        return [new Endpoint(record, 0), engine];
      }),
    );
    this.queue = new AdmissionQueue(clock, random, switches);
    const pace = new EnginePace();
    const risk = new PauseRisk();
    const sizes = new PromptSizes();
    const reserve = new UrgentReserve();
    const stubs: Partial<RelayContext> = {
      settings: {
        zone: 'north',
        regions: new Map(),
        drainMs: 2_000,
      } as Partial<RelayContext['settings']> as RelayContext['settings'],
      switches,
      clock,
      random,
      log: silentLog,
      endpoints: {
        ofService: () => this.endpoints.keys(),
      } as unknown as RelayContext['endpoints'],
      sendLimits: {
        allows: () => true,
        nextSendInMs: () => 0,
        acquire: (endpoint: Endpoint) => ({endpoint}) as SendPermit,
        release: () => {},
      } as unknown as RelayContext['sendLimits'],
      suspicions: {
        isSuspected: () => false,
      } as unknown as RelayContext['suspicions'],
      runs: new RunRegistry(),
      closing: {
        isClosing: false,
        beganAtMs: Infinity,
        endsAtMs: Infinity,
        endsConnection: () => false,
        onceBegun: () => () => {},
      },
      paceOf: () => pace,
      pauseRiskOf: () => risk,
      promptSizesOf: () => sizes,
      urgentReserveOf: () => reserve,
      admissionOf: () => this.queue,
      entryCount: () => load.entries,
      queryLoads: (endpoints, prompt) => this.queryLoads(endpoints, prompt),
      releaseLoads: (endpoints, {requestId}) => {
        for (const endpoint of endpoints) {
          this.engineOf(endpoint).commitments.release(requestId);
        }
      },
      zoneLoads: new ZoneLoads(),
    };
    this.context = stubs as RelayContext;
  }

  noteReports(): void {
    for (const [endpoint, engine] of this.endpoints) {
      endpoint.noteReport(engine.load(), this.clock.nowMs());
    }
    this.queue.recheck();
  }

  arrive(load: RouteLoad, arrivals: Random): Outcome {
    const {clock} = this;
    const promptTokens = drawTokens(load, arrivals);
    const outputTokens = 4 - Math.log(1 - arrivals()) * load.meanOutputTokens;
    const outcome: Outcome = {
      route: load.route.name,
      promptTokens,
      arrivedMs: clock.nowMs(),
      goalMs: load.route.latencyGoalMs,
    };
    const size = {
      promptTokens,
      maxOutputTokens: 2_000,
      expectedOutputTokens: load.meanOutputTokens,
      prefixParts: [],
    };
    void this.serve(load.route, size, outputTokens, outcome);
    return outcome;
  }

  private async serve(
    route: Route,
    size: GenerationSize,
    outputTokens: number,
    outcome: Outcome,
  ): Promise<void> {
    const {clock, context, random} = this;
    const exchange = this.exchangeOf(route, size, String(random()));
    const traits = ENGINE_TRAITS;
    const admission = new GenerationAdmission(context, exchange, traits, size);
    const admitted = await admission.admit(new Set());
    if (admitted.kind === 'refused') {
      outcome.refusedMs = clock.nowMs() - outcome.arrivedMs;
      exchange.finish();
      return;
    }
    const {endpoint} = admitted.permit;
    const run = createRun(context, exchange, endpoint, size, traits);
    admission.release(endpoint);
    context.runs.add(run);
    this.engineOf(endpoint).submit({
      requestId: exchange.id,
      promptTokens: size.promptTokens,
      enginePriority: run.enginePriority,
      outputTokens,
      onFirstEvent: () => {
        outcome.firstEventMs = clock.nowMs() - outcome.arrivedMs;
        run.eventsRelayed = 1;
        admission.noteFirstEvent();
      },
      onEnd: () => {
        context.runs.remove(run);
        admission.noteRunEnded(run);
        exchange.finish();
      },
    });
  }

  private exchangeOf(
    route: Route,
    size: GenerationSize,
    requestId: string,
  ): CallerExchange {
    const {clock, table} = this;
    const response = new EventEmitter() as ServerResponse;
    const request = {
      requestId,
      method: 'POST',
      target: route.pathPrefix,
      path: route.pathPrefix,
      host: route.host,
      rawHeaders: [],
      size,
    };
    const arrivedMs = clock.nowMs();
    const allowed = {request, route, table, service: SERVICE, arrivedMs};
    return new CallerExchange(allowed, Buffer.alloc(0), response, clock);
  }

  private async queryLoads(
    endpoints: readonly Endpoint[],
    {requestId, promptTokens, enginePriority}: QueriedPrompt,
  ): Promise<void> {
    if (this.load.hasSidecars === false) return;
    for (const endpoint of endpoints) {
      const {commitments, loadForQuery} = this.engineOf(endpoint);
      endpoint.noteReport(loadForQuery(), this.clock.nowMs());
      commitments.reserve(requestId, promptTokens, enginePriority);
    }
    await new Promise<void>((resolve) => this.clock.after(QUERY_MS, resolve));
  }

  private engineOf(endpoint: Endpoint): SimulatedEngine {
    return this.endpoints.get(endpoint)!;
  }
}

function repeat(clock: VirtualClock, everyMs: number, task: () => void): void {
  task();
  clock.after(everyMs, () => repeat(clock, everyMs, task));
}

function streamingRoute(
  name: string,
  priority: number,
  latencyGoalMs: number,
  timeoutMs: number,
): Route {
  return {
    name,
    host: 'letters.example',
    pathPrefix: `/${name}/`,
    requestClass: RequestClass.STREAMING,
    timeoutMs,
    latencyGoalMs,
    streamIdleTimeoutMs: timeoutMs,
    priority,
    targets: [{service: SERVICE, weight: 1}],
    maxAttempts: 1,
    isAnonymous: true,
    isResumable: false,
  };
}

function withGoal(
  load: RouteLoad,
  latencyGoalMs = load.route.latencyGoalMs,
): RouteLoad {
  return {...load, route: {...load.route, latencyGoalMs}};
}

function config(reviews: RouteLoad): ServingConfig {
  return {
    version: 1,
    routes: [VERDICTS.route, reviews.route],
    services: [{name: SERVICE, maxConnections: 100, engine: ENGINE_TRAITS}],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
}

/** Draws from a Poisson distribution with a small mean. */
function drawCount(mean: number, random: Random): number {
  let count = 0;
  let product = random();
  while (product > Math.exp(-mean)) {
    count++;
    product *= random();
  }
  return count;
}

function drawTokens({meanPromptTokens, spread}: RouteLoad, random: Random) {
  const angle = 2 * Math.PI * random();
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(angle);
  const factor = Math.exp(spread * normal - spread ** 2 / 2);
  return Math.round(Math.max(300, Math.min(6_000, meanPromptTokens * factor)));
}
