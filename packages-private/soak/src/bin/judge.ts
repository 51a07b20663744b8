#!/usr/bin/env node
/** Checks the kept events of a soak again; exits with 1 on a violation, 2 on invalid input. */
import {readFileSync} from 'node:fs';
import {Command} from 'commander';
import {judgeEvents} from '../judgeEvents.js';
import {SoakEventError} from '../soakEvent.js';

const EXIT_VIOLATION = 1;
const EXIT_BAD_INPUT = 2;

const command = new Command('judge')
  .description('Checks the guarantees again from the events that a soak kept.')
  .argument('<file>', 'events.jsonl of a run whose logs were kept')
  .parse();
const [file] = command.args as [string];

try {
  const lines = readFileSync(file, 'utf8').split('\n');
  // A complete file ends with a line break.
  if (lines.at(-1) === '') lines.pop();
  const verdict = judgeEvents(lines);
  process.stdout.write(`${JSON.stringify(verdict)}\n`);
  if (verdict.violations.length > 0) process.exitCode = EXIT_VIOLATION;
} catch (error) {
  const isExpected =
    error instanceof SoakEventError ||
    (error as NodeJS.ErrnoException).code === 'ENOENT';
  if (!isExpected) throw error;
  process.stderr.write(`${file}: ${(error as Error).message}\n`);
  process.exitCode = EXIT_BAD_INPUT;
}
