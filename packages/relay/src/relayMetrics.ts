import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {EnginePace, UrgentReserve} from '@lilacledge/policy';
import type {Endpoint} from './endpoints/endpoint.js';
import type {Route} from './model/index.js';
import {ServedRequests} from './servedRequests.js';

/** Histogram bounds in seconds; the latency goals of callers lie between 0.1 and 2 s. */
const ANSWER_BUCKETS_S = [0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12, 40];

/** Histogram bounds in seconds; a pause over 0.18 s counts as late on both deployments. */
const PAUSE_BUCKETS_S = [0.03, 0.06, 0.12, 0.18, 0.3, 0.6, 2];

/** Histogram bounds in bytes, from a few registrations to the largest page of the store. */
const STORE_BODY_BUCKETS_BYTES = [1e3, 1e4, 5e4, 2e5, 1e6, 4e6];

/** Metrics of one entry; the number of label values doesn't grow with the requests. */
export interface RelayMetrics {
  readonly registry: Registry;
  /** Requests by route and by how they were served. */
  readonly served: ServedRequests;
  readonly budgetRefusals: Counter;
  /** Counts sends beyond the first of a request. */
  readonly retries: Counter;
  readonly evacuations: Counter;
  /** Counts answers that the entry itself generated. */
  readonly localAnswers: Counter;
  readonly configVersion: Gauge;
  /** Counts suspensions of the instance and steps of its wall clock. */
  readonly clockGaps: Counter;
  /** Counts streams and plain answers that were ended because their callers took nothing. */
  readonly readersTooSlow: Counter;
  /** Counts requests that were refused for lack of memory, by what needed it. */
  readonly refusedForMemory: Counter;
  /** Counts connections that were closed before their request was read. */
  readonly connectionsClosedUnread: Counter;
  /** Counts connections that were closed while requests on them were unanswered. */
  readonly connectionsClosedWithRequests: Counter;
  /** Counts the calls to the store by kind of answer. */
  readonly storeCalls: Counter;
  /** Size of the store's answers to reads. */
  readonly storeBodyBytes: Histogram;
  /** Time from the head to the end of the store's answers to reads. */
  readonly storeTransfers: Histogram;
  /** Adds a gauge whose value is read at each scrape. */
  addGauge(name: string, help: string, read: () => number): void;
  noteOutcome(route: Route, verdict: string, ageMs: number): void;
  noteFirstEvent(route: Route, ageMs: number): void;
  notePause(longestMs: number): void;
}

/** @param zone availability zone of the entry. */
export function createRelayMetrics(zone: string): RelayMetrics {
  const registry = new Registry();
  const registers = [registry];
  const answers = new Histogram({
    name: 'lilacledge_answer_seconds',
    help: 'Time from the head of a request to its final answer.',
    labelNames: ['class', 'verdict'],
    buckets: ANSWER_BUCKETS_S,
    registers,
  });
  const firstEvents = new Histogram({
    name: 'lilacledge_first_event_seconds',
    help: 'Time from the head of a request to the first event of its stream.',
    labelNames: ['priority'],
    buckets: ANSWER_BUCKETS_S,
    registers,
  });
  const pauses = new Histogram({
    name: 'lilacledge_longest_pause_seconds',
    help: 'Longest pause between two events of a stream.',
    buckets: PAUSE_BUCKETS_S,
    registers,
  });
  return {
    registry,
    served: new ServedRequests(registry, zone),
    retries: new Counter({
      name: 'lilacledge_retries_total',
      help: 'Sends beyond the first of a request, by why and out of whose share.',
      labelNames: ['service', 'kind', 'source'],
      registers,
    }),
    budgetRefusals: new Counter({
      name: 'lilacledge_budget_refusals_total',
      help: 'Sends beyond the first that the retry budget did not allow.',
      labelNames: ['service'],
      registers,
    }),
    evacuations: new Counter({
      name: 'lilacledge_evacuations_total',
      help: 'Moves of generations, by their reason and how they ended.',
      labelNames: ['reason', 'end'],
      registers,
    }),
    localAnswers: new Counter({
      name: 'lilacledge_own_answers_total',
      help: 'Answers that no endpoint gave, by status and cause.',
      labelNames: ['status', 'cause'],
      registers,
    }),
    clockGaps: new Counter({
      name: 'lilacledge_clock_gaps_total',
      help: 'Suspensions of the instance and steps of its time of day.',
      labelNames: ['kind'],
      registers,
    }),
    readersTooSlow: new Counter({
      name: 'lilacledge_readers_too_slow_total',
      help: 'Streams and plain answers that were ended because their callers took nothing.',
      registers,
    }),
    refusedForMemory: new Counter({
      name: 'lilacledge_refused_for_memory_total',
      help: 'Requests refused as their process may not hold more.',
      labelNames: ['payload'],
      registers,
    }),
    connectionsClosedUnread: new Counter({
      name: 'lilacledge_connections_closed_unread_total',
      help: 'Connections of callers closed before their request was read, by cause.',
      labelNames: ['cause'],
      registers,
    }),
    connectionsClosedWithRequests: new Counter({
      name: 'lilacledge_connections_closed_with_requests_total',
      help: 'Connections of callers closed with unanswered requests, by who closed them.',
      labelNames: ['by'],
      registers,
    }),
    configVersion: new Gauge({
      name: 'lilacledge_config_version',
      help: 'Version of the configuration in force.',
      registers,
    }),
    storeCalls: new Counter({
      name: 'lilacledge_store_calls_total',
      help: 'Calls to the metadata store, by kind of answer.',
      labelNames: ['answer'],
      registers,
    }),
    storeBodyBytes: new Histogram({
      name: 'lilacledge_store_body_bytes',
      help: 'Bytes of an answer of the metadata store to a read.',
      buckets: STORE_BODY_BUCKETS_BYTES,
      registers,
    }),
    storeTransfers: new Histogram({
      name: 'lilacledge_store_transfer_seconds',
      help: 'Time from the head to the end of such an answer.',
      buckets: PAUSE_BUCKETS_S,
      registers,
    }),
    addGauge(name, help, read) {
      new Gauge({
        name,
        help,
        registers,
        collect() {
          this.set(read());
        },
      });
    },
    noteOutcome(route, verdict, ageMs) {
      answers.observe({class: route.requestClass, verdict}, ageMs / 1_000);
    },
    noteFirstEvent(route, ageMs) {
      firstEvents.observe({priority: route.priority}, ageMs / 1_000);
    },
    notePause(longestMs) {
      pauses.observe(longestMs / 1_000);
    },
  };
}

/** Reads the gauge values of an entry at each scrape. */
export interface EntryGaugeReaders {
  openRequests(): number;
  openConnections(): number;
  connectionLimit(): number;
  openRuns(): number;
  waitingRequests(): number;
  endpoints(): number;
  evacuatedZones(): number;
  entries(): number;
  suspectedRequests(): number;
  quarantinedFeatures(): number;
  droppedLogLines(): number;
  retriesUsed(): number;
  heldBytes(): number;
  heldStreams(): number;
  heldRequestBytes(): number;
  sentAheadBytes(): number;
  heldAnswerBytes(): number;
  organisationsAboveShare(): number;
  callersDue(): number;
}

/**
 * Adds gauges for the learned pace of the engines of each service, to compare with
 * measured times.
 */
export function addPaceGauge(
  metrics: RelayMetrics,
  paces: () => Iterable<[string, EnginePace]>,
): void {
  new Gauge({
    name: 'lilacledge_engine_token_seconds',
    help: 'Time that is expected for a token, read or made, by service.',
    labelNames: ['service', 'work'],
    registers: [metrics.registry],
    collect() {
      for (const [service, pace] of paces()) {
        this.set({service, work: 'read'}, pace.prefillMs(1) / 1_000);
        this.set({service, work: 'made'}, pace.outputMs(1) / 1_000);
      }
    },
  });
}

/** Adds gauges for the steady slowness of the engines of each service where it is known. */
export function addSlownessGauge(
  metrics: RelayMetrics,
  endpoints: () => Iterable<Endpoint>,
): void {
  new Gauge({
    name: 'lilacledge_engine_slowness',
    help: 'Time for work relative to a usual engine: least, median, most by service.',
    labelNames: ['service', 'rank'],
    registers: [metrics.registry],
    collect() {
      this.reset();
      for (const [service, values] of slownessByService(endpoints())) {
        this.set({service, rank: 'least'}, values[0]!);
        const median = values[Math.floor((values.length - 1) / 2)]!;
        this.set({service, rank: 'median'}, median);
        this.set({service, rank: 'most'}, values.at(-1)!);
      }
    },
  });
}

/** Adds a gauge for the sends that endpoints have not answered, where there are any. */
export function addUnansweredGauge(
  metrics: RelayMetrics,
  endpoints: () => Iterable<Endpoint>,
): void {
  new Gauge({
    name: 'lilacledge_unanswered_sends',
    help: 'Sends that may still arrive at an endpoint, given up or not.',
    labelNames: ['service', 'endpoint'],
    registers: [metrics.registry],
    collect() {
      this.reset();
      for (const {id, record, announced} of endpoints()) {
        const {count} = announced.unanswered;
        if (count === 0) continue;
        this.set({service: record.service, endpoint: id}, count);
      }
    },
  });
}

/** Adds a gauge for the room that is kept for urgent generations of each service. */
export function addReserveGauge(
  metrics: RelayMetrics,
  reserves: () => Iterable<[string, UrgentReserve]>,
): void {
  new Gauge({
    name: 'lilacledge_urgent_reserve_share',
    help: 'Share of an engine that requests that can wait leave free, by service.',
    labelNames: ['service'],
    registers: [metrics.registry],
    collect() {
      for (const [service, {lastShare}] of reserves()) {
        this.set({service}, lastShare);
      }
    },
  });
}

/** The known slownesses of the endpoints of each service, the least first. */
function slownessByService(
  endpoints: Iterable<Endpoint>,
): ReadonlyMap<string, number[]> {
  const values = new Map<string, number[]>();
  for (const {record, speed} of endpoints) {
    if (!speed.isKnown) continue;
    const ofService = values.get(record.service) ?? [];
    ofService.push(speed.steadySlowness);
    values.set(record.service, ofService);
  }
  for (const ofService of values.values()) ofService.sort((a, b) => a - b);
  return values;
}

/** Adds an entry's gauges to its metrics. */
export function addEntryGauges(
  metrics: RelayMetrics,
  gauges: EntryGaugeReaders,
): void {
  const definitions: ReadonlyArray<[string, string, () => number]> = [
    ['open_requests', 'Requests that are open.', gauges.openRequests],
    [
      'open_connections',
      'Connections of callers that are open.',
      gauges.openConnections,
    ],
    [
      'connection_limit_per_second',
      'New connections taken a second; not a number while all are.',
      gauges.connectionLimit,
    ],
    ['open_runs', 'Generations that are open.', gauges.openRuns],
    [
      'waiting_requests',
      'Requests that wait for room.',
      gauges.waitingRequests,
    ],
    ['endpoints', 'Endpoints that are known.', gauges.endpoints],
    [
      'evacuated_zones',
      'Availability zones that operators have evacuated.',
      gauges.evacuatedZones,
    ],
    [
      'suspected_requests',
      'Requests and parts of prompts under which endpoints have ended.',
      gauges.suspectedRequests,
    ],
    [
      'quarantined_features',
      'Requests and parts of prompts that are refused, as endpoints ended under them.',
      gauges.quarantinedFeatures,
    ],
    ['entries', 'Entries that are registered.', gauges.entries],
    ['dropped_log_lines', 'Log lines left out.', gauges.droppedLogLines],
    [
      'retries_used',
      'Sends beyond the first, in the window.',
      gauges.retriesUsed,
    ],
    [
      'held_bytes',
      'Bytes of answers held for callers that read slowly.',
      gauges.heldBytes,
    ],
    [
      'sent_ahead_bytes',
      'Bytes of requests that wait for the answers before them on their connections.',
      gauges.sentAheadBytes,
    ],
    [
      'held_streams',
      'Streams of which the caller has not taken everything yet.',
      gauges.heldStreams,
    ],
    [
      'held_request_bytes',
      'Bytes of request bodies that are held.',
      gauges.heldRequestBytes,
    ],
    [
      'held_answer_bytes',
      'Bytes of plain answers that are held.',
      gauges.heldAnswerBytes,
    ],
    [
      'organisations_above_share',
      'Organisations with waiting requests whose use exceeds their fair share.',
      gauges.organisationsAboveShare,
    ],
    [
      'callers_due',
      'Callers refused by any entry that have yet to return.',
      gauges.callersDue,
    ],
  ];
  for (const [name, help, read] of definitions) {
    metrics.addGauge(`lilacledge_${name}`, help, read);
  }
}
