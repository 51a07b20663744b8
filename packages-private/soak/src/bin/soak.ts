#!/usr/bin/env node
/** Runs soaks with given or random seeds; exits with 1 when a guarantee was violated. */
import {randomInt} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {Command} from 'commander';
import {runSoak} from '../runSoak.js';
import {CrashingRequests} from '../soakLoad.js';
import {parseShape, SoakShapeError} from '../soakShape.js';
import type {SoakShape} from '../soakShape.js';

const command = new Command('soak')
  .description('Runs the real programs under random faults.')
  .option('--seed <number>', 'first seed; random by default', Number)
  .option(
    '--runs <number>',
    'number of runs, with consecutive seeds',
    Number,
    1,
  )
  .option('--minutes <number>', 'time with faults in each run', Number, 0.5)
  .option('--processes <number>', 'approximate number of programs', Number, 12)
  .option(
    '--shape <file>',
    'numbers of processes by role, instead of --processes',
  )
  .option(
    '--identity',
    'also restarts under the same id and malformed registrations',
  )
  .option('--deadly', 'also a request that crashes each engine that runs it')
  .option(
    '--deadly-part',
    'also requests of which no two are alike that crash engines by one part',
  )
  .option('--shedding', 'only endpoints that reject while entries restart')
  .option('--silences', 'only endpoints that get late what was sent to them')
  .option('--bursts', 'only endpoints that reject while callers come in bursts')
  .option(
    '--uploads',
    'only restarts with ports taken, beside callers that send large bodies',
  )
  .option(
    '--answers',
    'only limits, leaves and backoffs that endpoints announce in answers',
  )
  .option('--failing', 'only plain endpoints that answer with errors')
  .option(
    '--leaving',
    'also a caller that disconnects before its drafts are complete',
  )
  .option('--slow-readers', 'also callers that read their drafts late or never')
  .option('--paces', 'also endpoints that report a changing pace')
  .option('--zones', 'also evacuations of zones')
  .option('--restores', 'also restores of the store from older copies')
  .option(
    '--large-config',
    'only endpoints that leave while a large configuration changes',
  )
  .option(
    '--combined',
    'only faults that matter together, beside streams that are resumed',
  )
  .option('--verbose', 'print each fault')
  .parse();
const options = command.opts<{
  seed?: number;
  runs: number;
  minutes: number;
  processes: number;
  shape?: string;
  identity?: boolean;
  zones?: boolean;
  restores?: boolean;
  deadly?: boolean;
  deadlyPart?: boolean;
  shedding?: boolean;
  silences?: boolean;
  bursts?: boolean;
  uploads?: boolean;
  answers?: boolean;
  failing?: boolean;
  leaving?: boolean;
  slowReaders?: boolean;
  paces?: boolean;
  largeConfig?: boolean;
  combined?: boolean;
  verbose?: boolean;
}>();

const shape = readShape(options.shape);
let failedRuns = 0;
const firstSeed = options.seed ?? randomInt(1_000_000);
for (let run = 0; run < options.runs; run++) {
  const verdict = await runSoak({
    seed: firstSeed + run,
    durationMs: options.minutes * 60_000,
    processes: options.processes,
    shape,
    hasIdentityFaults: options.identity,
    hasZoneFaults: options.zones,
    hasRestores: options.restores,
    crashing: crashingRequests(),
    hasLargeConfig: options.largeConfig,
    hasCombinedFaults: options.combined,
    hasShedding: options.shedding,
    hasSilences: options.silences,
    hasBursts: options.bursts,
    hasUploads: options.uploads,
    hasStatements: options.answers,
    hasFailingEndpoints: options.failing,
    hasLeavingCaller: options.leaving,
    hasSlowReaders: options.slowReaders,
    hasPaceChanges: options.paces,
    print: (line) => {
      if (options.verbose === true) process.stdout.write(`${line}\n`);
    },
  });
  failedRuns += verdict.violations.length > 0 ? 1 : 0;
  process.stdout.write(`${JSON.stringify(verdict)}\n`);
}
// Without an explicit exit, Node.js may spin forever in its own cleanup, waiting for writes to
// sockets that a proxy reset.
process.exit(failedRuns > 0 ? 1 : 0);

function crashingRequests(): CrashingRequests | undefined {
  if (options.deadlyPart === true) return CrashingRequests.WITH_PART;
  return options.deadly === true ? CrashingRequests.ALIKE : undefined;
}

/** Reads a shape; prints one line and exits with 2 when it is missing or invalid. */
function readShape(path: string | undefined): SoakShape | undefined {
  if (path === undefined) return undefined;
  try {
    return parseShape(readFileSync(path, 'utf8'));
  } catch (error) {
    const isMissing = (error as NodeJS.ErrnoException).code === 'ENOENT';
    if (!isMissing && !(error instanceof SoakShapeError)) throw error;
    process.stderr.write(`${path}: ${(error as Error).message}\n`);
    return process.exit(2);
  }
}
