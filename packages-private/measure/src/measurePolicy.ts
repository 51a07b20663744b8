import type {Caller, Rig} from '@lilacledge/rig';
import {checkRun} from '@lilacledge/rig';
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import {createFleet} from './fleet.js';
import type {NamedPolicy} from './policies.js';
import {RequestClass} from './trace.js';
import type {TraceRequest} from './trace.js';

/** Faults that a measurement can be put under. */
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

/** What the users judge by, for one class of requests. */
export interface ClassMeasures {
  readonly requests: number;
  readonly completed: number;
  readonly refused: number;
  readonly broken: number;
  /** All time in which a caller waited with no output for over the limit. */
  readonly stallMs: Quantiles;
  readonly firstTokenMs: Quantiles;
  readonly gapMs: Quantiles;
}

/** One policy on one trace. */
export interface PolicyMeasures {
  readonly policy: string;
  readonly kind: NamedPolicy['kind'];
  readonly classes: Readonly<Record<RequestClass, ClassMeasures>>;
  readonly gapMs: Quantiles;
  readonly preemptionsPer1000: number;
  readonly recomputedTokens: number;
  /** Output tokens of completed requests per second of the trace. */
  readonly goodputPerS: number;
  /** Time to the last completion, from the trace's start. */
  readonly makespanMs: number;
  /** Smallest over largest mean stall of the organisations' short requests. */
  readonly fairness: number;
  readonly violations: number;
  readonly realS: number;
}

/** A gap above this is a stall; below it the stream is flowing. */
const FLOWING_MS = 250;
const FAULT_AT_MS = 40_000;
const SLOW_FACTOR = 4;
const DRAIN_LIMIT_MS = 900_000;
const HISTOGRAM = {
  lowestDiscernibleValue: 1,
  highestTrackableValue: 3_600_000_000,
  numberOfSignificantValueDigits: 3,
} as const;
const MICROS = 1_000;

/** Plays a trace through the real entries and sidecars under one policy. */
export async function measurePolicy(
  named: NamedPolicy,
  trace: readonly TraceRequest[],
  options: MeasureOptions,
): Promise<PolicyMeasures> {
  const startedMs = performance.now();
  const organisations = [...new Set(trace.map((row) => row.organisation))];
  const rig = await createFleet({
    entries: options.entries,
    seed: options.seed,
    organisations,
    policy: named.policy,
  });
  const originMs = rig.clock.nowMs();
  scheduleFault(rig, options.fault);
  const asked = schedule(rig, trace);
  await rig.clock.advance(trace.at(-1)!.atMs + 1);
  await rig.clock.advanceUntil(
    () => asked.every(({caller}) => caller!.end.kind !== 'open'),
    DRAIN_LIMIT_MS,
  );
  return summarise(rig, named, asked, originMs, startedMs);
}

interface Asked {
  readonly row: TraceRequest;
  caller: Caller | undefined;
}

function schedule(rig: Rig, trace: readonly TraceRequest[]): Asked[] {
  const entries = [...rig.entries.keys()];
  return trace.map((row, index) => {
    const asked: Asked = {row, caller: undefined};
    rig.clock.after(row.atMs, () => {
      asked.caller = rig.ask(entries[index % entries.length]!, {
        organisation: row.organisation,
        outputTokens: row.outputTokens,
        promptTokens: row.promptTokens,
        maxTokens: row.maxTokens,
        prefix: row.prefix.padEnd((row.promptTokens / 2) * 4, '-'),
      });
    });
    return asked;
  });
}

function scheduleFault(rig: Rig, fault: FaultName): void {
  rig.clock.after(FAULT_AT_MS, () => {
    const {engine} = rig.sidecars.get('engine-1')!;
    switch (fault) {
      case 'none':
        return;
      case 'killed':
        engine!.die();
        rig.killSidecar('engine-1');
        return;
      case 'slow':
        engine!.slowFactor = SLOW_FACTOR;
    }
  });
}

function summarise(
  rig: Rig,
  named: NamedPolicy,
  asked: readonly Asked[],
  originMs: number,
  startedMs: number,
): PolicyMeasures {
  const engines = [...rig.sidecars.values()].map(({engine}) => engine!);
  const sum = (of: (counters: (typeof engines)[0]['counters']) => number) =>
    engines.reduce((total, engine) => total + of(engine.counters), 0);
  const completed = asked.filter((one) => one.caller!.end.kind === 'complete');
  const tokens = completed.reduce((n, one) => n + one.row.outputTokens, 0);
  const makespanMs =
    Math.max(...asked.map((one) => one.caller!.endedMs)) - originMs;
  const gaps = build(HISTOGRAM);
  for (const one of asked) recordGaps(gaps, one.caller!);
  return {
    policy: named.name,
    kind: named.kind,
    classes: {
      short: measureClass(asked, RequestClass.SHORT),
      long: measureClass(asked, RequestClass.LONG),
    },
    gapMs: toQuantiles(gaps),
    preemptionsPer1000: (sum((c) => c.preemptions) * 1_000) / asked.length,
    recomputedTokens: sum((c) => c.recomputedTokens),
    goodputPerS: (tokens * 1_000) / makespanMs,
    makespanMs,
    fairness: measureFairness(asked),
    violations: checkRun(rig).length,
    realS: (performance.now() - startedMs) / 1_000,
  };
}

function measureClass(
  asked: readonly Asked[],
  wanted: RequestClass,
): ClassMeasures {
  const rows = asked.filter((one) => one.row.class === wanted);
  const stall = build(HISTOGRAM);
  const first = build(HISTOGRAM);
  const gaps = build(HISTOGRAM);
  const counts = {completed: 0, refused: 0, broken: 0};
  for (const {caller} of rows) {
    stall.recordValue(Math.max(1, stallOf(caller!) * MICROS));
    recordGaps(gaps, caller!);
    const firstMs = caller!.tokenMs[0];
    if (firstMs !== undefined) {
      first.recordValue(Math.max(1, (firstMs - caller!.arrivedMs) * MICROS));
    }
    counts[outcomeOf(caller!)]++;
  }
  return {
    requests: rows.length,
    ...counts,
    stallMs: toQuantiles(stall),
    firstTokenMs: toQuantiles(first),
    gapMs: toQuantiles(gaps),
  };
}

function outcomeOf(caller: Caller): 'completed' | 'refused' | 'broken' {
  if (caller.end.kind === 'complete') return 'completed';
  return caller.texts.length === 0 ? 'refused' : 'broken';
}

/** The wait for the first token, and every later gap that is a stall. */
function stallOf(caller: Caller): number {
  const firstMs = caller.tokenMs[0] ?? caller.endedMs;
  let stallMs = firstMs - caller.arrivedMs;
  for (let index = 1; index < caller.tokenMs.length; index++) {
    const gapMs = caller.tokenMs[index]! - caller.tokenMs[index - 1]!;
    if (gapMs > FLOWING_MS) stallMs += gapMs;
  }
  return stallMs;
}

function recordGaps(histogram: Histogram, caller: Caller): void {
  for (let index = 1; index < caller.tokenMs.length; index++) {
    const gapMs = caller.tokenMs[index]! - caller.tokenMs[index - 1]!;
    histogram.recordValue(Math.max(1, gapMs * MICROS));
  }
}

function measureFairness(asked: readonly Asked[]): number {
  const byOrganisation = new Map<string, number[]>();
  for (const {row, caller} of asked) {
    if (row.class !== RequestClass.SHORT) continue;
    const stalls = byOrganisation.get(row.organisation) ?? [];
    stalls.push(stallOf(caller!));
    byOrganisation.set(row.organisation, stalls);
  }
  const means = [...byOrganisation.values()].map(
    (stalls) => stalls.reduce((a, b) => a + b, 0) / stalls.length,
  );
  return Math.min(...means) / Math.max(...means);
}

function toQuantiles(histogram: Histogram): Quantiles {
  const at = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / MICROS;
  return {
    p50: at(50),
    p95: at(95),
    p99: at(99),
    p999: at(99.9),
    max: histogram.maxValue / MICROS,
  };
}
