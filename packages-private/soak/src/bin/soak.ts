#!/usr/bin/env node
/** Runs soaks with given or fresh seeds; exit code 1 when a promise broke. */
import {randomInt} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {Command} from 'commander';
import {runSoak} from '../runSoak.js';
import {parseShape, SoakShapeError} from '../soakShape.js';
import type {SoakShape} from '../soakShape.js';

const command = new Command('soak')
  .description('Runs the real programs under random faults.')
  .option('--seed <number>', 'first seed; drawn when left out', Number)
  .option('--runs <number>', 'seeds in a row', Number, 1)
  .option('--minutes <number>', 'time with faults in each run', Number, 0.5)
  .option('--processes <number>', 'programs, about', Number, 12)
  .option('--shape <file>', 'numbers of processes, in place of --processes')
  .option('--identity', 'also faults of who an endpoint is')
  .option('--deadly', 'also a request that ends each engine that runs it')
  .option('--shedding', 'endpoints that reject, entries that start anew, alone')
  .option('--answers', 'what endpoints say in their answers, alone')
  .option('--failing', 'plain endpoints that answer errors, alone')
  .option('--leaving', 'also a caller that leaves before its drafts are whole')
  .option('--zones', 'also zones that are evacuated')
  .option('--large-config', 'leaves beside a large configuration, alone')
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
  deadly?: boolean;
  shedding?: boolean;
  answers?: boolean;
  failing?: boolean;
  leaving?: boolean;
  largeConfig?: boolean;
  verbose?: boolean;
}>();

const shape = openShape(options.shape);
let broken = 0;
const firstSeed = options.seed ?? randomInt(1_000_000);
for (let run = 0; run < options.runs; run++) {
  const verdict = await runSoak({
    seed: firstSeed + run,
    durationMs: options.minutes * 60_000,
    processes: options.processes,
    shape,
    hasIdentityFaults: options.identity,
    hasZoneFaults: options.zones,
    hasDeadlyRequests: options.deadly,
    hasLargeConfig: options.largeConfig,
    hasShedding: options.shedding,
    hasStatements: options.answers,
    hasFailing: options.failing,
    hasLeavingCaller: options.leaving,
    print: (line) => {
      if (options.verbose === true) process.stdout.write(`${line}\n`);
    },
  });
  broken += verdict.violations.length > 0 ? 1 : 0;
  process.stdout.write(`${JSON.stringify(verdict)}\n`);
}
// Left to itself, Node.js may wait for ever in its own cleanup for writes to
// sockets that a proxy reset: the process then spins at its end.
process.exit(broken > 0 ? 1 : 0);

/** Ends the process with one line when the shape is wrong. */
function openShape(path: string | undefined): SoakShape | undefined {
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
