#!/usr/bin/env node
/** Judges a kept stream of a soak again; exit code 1 when a promise broke, 2 when it is bad. */
import {readFileSync} from 'node:fs';
import {Command} from 'commander';
import {judgeEvents} from '../judgeEvents.js';
import {SoakEventError} from '../soakEvent.js';

const BROKEN = 1;
const BAD_INPUT = 2;

const command = new Command('judge')
  .description('Judges what a soak saw, from the events that it kept.')
  .argument('<file>', 'events.jsonl of a run whose logs were kept')
  .parse();
const [file] = command.args as [string];

try {
  const lines = readFileSync(file, 'utf8').split('\n');
  // A whole stream ends with the end of a line.
  if (lines.at(-1) === '') lines.pop();
  const verdict = judgeEvents(lines);
  process.stdout.write(`${JSON.stringify(verdict)}\n`);
  if (verdict.violations.length > 0) process.exitCode = BROKEN;
} catch (error) {
  const isExpected =
    error instanceof SoakEventError ||
    (error as NodeJS.ErrnoException).code === 'ENOENT';
  if (!isExpected) throw error;
  process.stderr.write(`${file}: ${(error as Error).message}\n`);
  process.exitCode = BAD_INPUT;
}
