import type {Caller, Rig} from '@lilacledge/rig';
import {checkRun} from '@lilacledge/rig';
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import {createFleet} from './fleet.js';
import type {NamedPolicy} from './policies.js';
import {RequestClass} from './trace.js';
import type {TraceRequest} from './trace.js';

/** Faults that a measurement can inject into `engine-1`. */
export const FaultName = {
  NONE: 'none',
  KILLED: 'killed',
  SLOW: 'slow',
} as const;
export type FaultName = (typeof FaultName)[keyof typeof FaultName];

export interface MeasureOptions {
  readonly entries: number;
  readonly seed: number;
  readonly fault: FaultName;
}

/** Quantiles of one quantity, in milliseconds. */
export interface Quantiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}

/** Results of one class of requests, by the criteria of the users. */
export interface ClassMeasures {
  readonly requests: number;
  readonly completed: number;
  /** Ended incomplete without any output. */
  readonly refused: number;
  /** Ended incomplete after some output. */
  readonly broken: number;
  /** Time to the first token plus all later gaps above `STALL_THRESHOLD_MS`. */
  readonly stallMs: Quantiles;
  readonly firstTokenMs: Quantiles;
  readonly gapMs: Quantiles;
}

/** Results of one policy on one trace. */
export interface PolicyMeasures {
  readonly policy: string;
  readonly kind: NamedPolicy['kind'];
  readonly classes: Readonly<Record<RequestClass, ClassMeasures>>;
  readonly gapMs: Quantiles;
  readonly preemptionsPer1000: number;
  readonly recomputedTokens: number;
  /** Output tokens of completed requests per second of `makespanMs`. */
  readonly goodputPerS: number;
  /** Time from the start of the trace to the end of the last request. */
  readonly makespanMs: number;
  /** Lowest mean stall of an organisation over the highest; short requests only. */
  readonly fairness: number;
  /** Number of violations that `checkRun` found. */
  readonly violations: number;
  /** Wall-clock time that the measurement took. */
  readonly realS: number;
}

/** A gap between two tokens above this is a stall. */
const STALL_THRESHOLD_MS = 250;
const FAULT_AT_MS = 40_000;
const SLOW_FACTOR = 4;
const MAX_DRAIN_MS = 900_000;
const HISTOGRAM_OPTIONS = {
  lowestDiscernibleValue: 1,
  highestTrackableValue: 3_600_000_000,
  numberOfSignificantValueDigits: 3,
} as const;
const MICROS_PER_MS = 1_000;

/** Replays a trace through the real entries and sidecars under one policy. */
export async function measurePolicy(
  namedPolicy: NamedPolicy,
  trace: readonly TraceRequest[],
  options: MeasureOptions,
): Promise<PolicyMeasures> {
  const startedMs = performance.now();
  const organisations = [
    ...new Set(trace.map((request) => request.organisation)),
  ];
  const rig = await createFleet({
    entries: options.entries,
    seed: options.seed,
    organisations,
    policy: namedPolicy.policy,
  });
  const traceStartMs = rig.clock.nowMs();
  scheduleFault(rig, options.fault);
  const replayed = scheduleRequests(rig, trace);
  await rig.clock.advance(trace.at(-1)!.atMs + 1);
  await rig.clock.advanceUntil(
    () => replayed.every(({caller}) => caller!.end.kind !== 'open'),
    MAX_DRAIN_MS,
  );
  return summarise(rig, namedPolicy, replayed, traceStartMs, startedMs);
}

/** A request of the trace and, from its arrival on, its caller. */
interface ReplayedRequest {
  readonly request: TraceRequest;
  caller: Caller | undefined;
}

function scheduleRequests(
  rig: Rig,
  trace: readonly TraceRequest[],
): ReplayedRequest[] {
  const entries = [...rig.entries.keys()];
  return trace.map((request, index) => {
    const replayed: ReplayedRequest = {request, caller: undefined};
    rig.clock.after(request.atMs, () => {
      replayed.caller = rig.generate(entries[index % entries.length]!, {
        organisation: request.organisation,
        outputTokens: request.outputTokens,
        promptTokens: request.promptTokens,
        maxTokens: request.maxTokens,
        prefix: request.prefix.padEnd((request.promptTokens / 2) * 4, '-'),
      });
    });
    return replayed;
  });
}

function scheduleFault(rig: Rig, fault: FaultName): void {
  rig.clock.after(FAULT_AT_MS, () => {
    const {engine} = rig.sidecars.get('engine-1')!;
    switch (fault) {
      case 'none':
        return;
      case 'killed':
        engine!.crash();
        rig.killSidecar('engine-1');
        return;
      case 'slow':
        engine!.slowFactor = SLOW_FACTOR;
    }
  });
}

function summarise(
  rig: Rig,
  namedPolicy: NamedPolicy,
  replayed: readonly ReplayedRequest[],
  traceStartMs: number,
  startedMs: number,
): PolicyMeasures {
  const engines = [...rig.sidecars.values()].map(({engine}) => engine!);
  const sumCounters = (
    select: (counters: (typeof engines)[0]['counters']) => number,
  ) => engines.reduce((total, engine) => total + select(engine.counters), 0);
  const completed = replayed.filter(
    (one) => one.caller!.end.kind === 'complete',
  );
  const tokens = completed.reduce((n, one) => n + one.request.outputTokens, 0);
  const makespanMs =
    Math.max(...replayed.map((one) => one.caller!.endedMs)) - traceStartMs;
  const gaps = build(HISTOGRAM_OPTIONS);
  for (const one of replayed) recordGaps(gaps, one.caller!);
  return {
    policy: namedPolicy.name,
    kind: namedPolicy.kind,
    classes: {
      short: measureClass(replayed, RequestClass.SHORT),
      long: measureClass(replayed, RequestClass.LONG),
    },
    gapMs: toQuantiles(gaps),
    preemptionsPer1000:
      (sumCounters((c) => c.preemptions) * 1_000) / replayed.length,
    recomputedTokens: sumCounters((c) => c.recomputedTokens),
    goodputPerS: (tokens * 1_000) / makespanMs,
    makespanMs,
    fairness: measureFairness(replayed),
    violations: checkRun(rig).length,
    realS: (performance.now() - startedMs) / 1_000,
  };
}

function measureClass(
  replayed: readonly ReplayedRequest[],
  requestClass: RequestClass,
): ClassMeasures {
  const matching = replayed.filter((one) => one.request.class === requestClass);
  const stalls = build(HISTOGRAM_OPTIONS);
  const firstTokens = build(HISTOGRAM_OPTIONS);
  const gaps = build(HISTOGRAM_OPTIONS);
  const counts = {completed: 0, refused: 0, broken: 0};
  for (const {caller} of matching) {
    stalls.recordValue(Math.max(1, totalStallMs(caller!) * MICROS_PER_MS));
    recordGaps(gaps, caller!);
    const firstMs = caller!.tokenMs[0];
    if (firstMs !== undefined) {
      firstTokens.recordValue(
        Math.max(1, (firstMs - caller!.arrivedMs) * MICROS_PER_MS),
      );
    }
    counts[outcomeOf(caller!)]++;
  }
  return {
    requests: matching.length,
    ...counts,
    stallMs: toQuantiles(stalls),
    firstTokenMs: toQuantiles(firstTokens),
    gapMs: toQuantiles(gaps),
  };
}

function outcomeOf(caller: Caller): 'completed' | 'refused' | 'broken' {
  if (caller.end.kind === 'complete') return 'completed';
  return caller.texts.length === 0 ? 'refused' : 'broken';
}

/** The wait for the first token plus every later gap that is a stall. */
function totalStallMs(caller: Caller): number {
  const firstMs = caller.tokenMs[0] ?? caller.endedMs;
  let stallMs = firstMs - caller.arrivedMs;
  for (let index = 1; index < caller.tokenMs.length; index++) {
    const gapMs = caller.tokenMs[index]! - caller.tokenMs[index - 1]!;
    if (gapMs > STALL_THRESHOLD_MS) stallMs += gapMs;
  }
  return stallMs;
}

function recordGaps(histogram: Histogram, caller: Caller): void {
  for (let index = 1; index < caller.tokenMs.length; index++) {
    const gapMs = caller.tokenMs[index]! - caller.tokenMs[index - 1]!;
    histogram.recordValue(Math.max(1, gapMs * MICROS_PER_MS));
  }
}

function measureFairness(replayed: readonly ReplayedRequest[]): number {
  const byOrganisation = new Map<string, number[]>();
  for (const {request, caller} of replayed) {
    if (request.class !== RequestClass.SHORT) continue;
    const stalls = byOrganisation.get(request.organisation) ?? [];
    stalls.push(totalStallMs(caller!));
    byOrganisation.set(request.organisation, stalls);
  }
  const means = [...byOrganisation.values()].map(
    (stalls) => stalls.reduce((a, b) => a + b, 0) / stalls.length,
  );
  return Math.min(...means) / Math.max(...means);
}

function toQuantiles(histogram: Histogram): Quantiles {
  const percentileMs = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / MICROS_PER_MS;
  return {
    p50: percentileMs(50),
    p95: percentileMs(95),
    p99: percentileMs(99),
    p999: percentileMs(99.9),
    max: histogram.maxValue / MICROS_PER_MS,
  };
}
