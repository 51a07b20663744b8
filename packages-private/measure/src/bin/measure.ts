#!/usr/bin/env node
import {Command} from 'commander';
import {generateTrace, SHAPES} from '../generateTrace.js';
import type {ShapeName, WorkloadName} from '../generateTrace.js';
import {computeCapacityPerMs} from '../measureCapacity.js';
import {FaultName, measurePolicy} from '../measurePolicy.js';
import type {PolicyMeasures} from '../measurePolicy.js';
import {POLICIES} from '../policies.js';
import type {TraceRequest} from '../trace.js';

interface CliOptions {
  readonly workload: WorkloadName;
  readonly trace: ShapeName;
  readonly seed: string;
  readonly policy?: string;
  readonly fault: FaultName;
  readonly entries: string;
  readonly json?: boolean;
}

const CAPACITY_SAMPLE_SEED = 4_242;

const program = new Command('measure')
  .description('plays a synthetic trace under several policies, side by side')
  .option('--workload <name>', 'bayanihan or sutolinen', 'bayanihan')
  .option('--trace <shape>', Object.keys(SHAPES).join(', '), 'peak')
  .option('--seed <number>', 'seed of the trace', '1')
  .option('--policy <name>', 'only this policy')
  .option('--fault <name>', Object.values(FaultName).join(', '), 'none')
  .option('--entries <number>', 'number of entries', '2')
  .option('--json', 'print JSON');

async function main(): Promise<void> {
  const options = program.parse().opts<CliOptions>();
  const trace = createTrace(options);
  const selectedPolicies = POLICIES.filter(
    ({name}) => options.policy === undefined || options.policy === name,
  );
  const results: PolicyMeasures[] = [];
  for (const policy of selectedPolicies) {
    const result = await measurePolicy(policy, trace, {
      entries: Number(options.entries),
      seed: Number(options.seed),
      fault: options.fault,
    });
    results.push(result);
    if (options.json !== true) printResult(result);
  }
  if (options.json === true) {
    process.stdout.write(`${JSON.stringify(results, null, 2)}\n`);
  }
  if (results.some((result) => result.violations > 0)) process.exitCode = 1;
}

/** Generates the trace, with rates relative to the capacity of the engines. */
function createTrace(options: CliOptions): TraceRequest[] {
  const {workload} = options;
  const sample = generateTrace(
    workload,
    [{durationMs: 400_000, load: 1}],
    0.02,
    CAPACITY_SAMPLE_SEED,
  );
  const phases = SHAPES[options.trace];
  const rate = computeCapacityPerMs(sample);
  const trace = generateTrace(workload, phases, rate, Number(options.seed));
  if (options.json !== true) {
    process.stdout.write(
      `${workload}, ${options.trace}, seed ${options.seed}, fault ${options.fault}: ` +
        `${trace.length} requests; engines carry ${(rate * 1_000).toFixed(2)}/s\n` +
        `${HEADER}\n`,
    );
  }
  return trace;
}

const COLUMNS = [
  'policy',
  'stall short p50/p95/p99/max s',
  'stall long p50/p99/max s',
  'gap p99/p99.9/max ms',
  'preempt/1000',
  'recomputed',
  'done/refused/broken',
  'goodput/s',
  'fairness',
  'real s',
] as const;
const COLUMN_WIDTHS = [18, 30, 26, 22, 12, 10, 19, 9, 8, 6] as const;
const HEADER = COLUMNS.map((name, i) => name.padEnd(COLUMN_WIDTHS[i]!)).join(
  ' ',
);

function printResult(result: PolicyMeasures): void {
  const {short, long} = result.classes;
  const cells = [
    result.policy,
    formatSeconds(
      short.stallMs.p50,
      short.stallMs.p95,
      short.stallMs.p99,
      short.stallMs.max,
    ),
    formatSeconds(long.stallMs.p50, long.stallMs.p99, long.stallMs.max),
    [result.gapMs.p99, result.gapMs.p999, result.gapMs.max]
      .map((ms) => ms.toFixed(0))
      .join(' / '),
    result.preemptionsPer1000.toFixed(1),
    String(result.recomputedTokens),
    [
      short.completed + long.completed,
      short.refused + long.refused,
      short.broken + long.broken,
    ].join(' / '),
    result.goodputPerS.toFixed(0),
    result.fairness.toFixed(2),
    result.realS.toFixed(1),
  ];
  const line = cells.map((cell, i) => cell.padEnd(COLUMN_WIDTHS[i]!)).join(' ');
  process.stdout.write(`${line}\n`);
}

function formatSeconds(...values: number[]): string {
  return values.map((ms) => (ms / 1_000).toFixed(2)).join(' / ');
}

await main();
