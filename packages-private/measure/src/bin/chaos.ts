#!/usr/bin/env node
import {Command} from 'commander';
import {runChaos} from '../chaos/runChaos.js';

const MINUTE_MS = 60_000;

const options = new Command('chaos')
  .description('runs real processes under random faults and judges the run')
  .option('--seed <number>', 'seed of the faults', '1')
  .option('--minutes <number>', 'how long faults are brought about', '2')
  .parse()
  .opts<{seed: string; minutes: string}>();

const verdict = await runChaos({
  seed: Number(options.seed),
  durationMs: Number(options.minutes) * MINUTE_MS,
  print: (line) => process.stderr.write(`${line}\n`),
});
process.stdout.write(`${JSON.stringify(verdict, null, 2)}\n`);
process.exitCode = verdict.violations.length > 0 ? 1 : 0;
