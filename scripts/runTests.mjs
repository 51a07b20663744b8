/**
 * Runs the tests, and prints the known failures that KNOWN-RED.txt lists, with those that passed
 * this time. Fails on any other failure, and if a listed test was not run.
 *
 * Each line of KNOWN-RED.txt is `file > describe > test | command and seed | cause | issue`.
 */
import {spawnSync} from 'node:child_process';
import {existsSync, mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

const KNOWN_FAILURES_FILE = 'KNOWN-RED.txt';

/**
 * With more known failures than this, a change must not be merged. Each case of a scene counts, so
 * that the list names exactly what fails.
 */
const MAX_KNOWN_FAILURES = 21;

const FIELDS_PER_LINE = 4;

const chosenFiles = process.argv.slice(2);
const known = readKnownFailures();
const report = runVitest(chosenFiles);
for (const line of known) {
  const hasPassed = report?.outcomes[testNameOf(line)] === 'passed';
  console.log(`known red${hasPassed ? ', passed this time' : ''}: ${line}`);
}
const problems = [
  ...findListProblems(known),
  ...findRunProblems(known.map(testNameOf), report),
];
for (const problem of problems) console.log(problem);
process.exitCode = problems.length > 0 ? 1 : 0;

function readKnownFailures() {
  if (!existsSync(KNOWN_FAILURES_FILE)) return [];
  const lines = readFileSync(KNOWN_FAILURES_FILE, 'utf8').split('\n');
  return lines.filter((line) => line.trim() !== '' && !line.startsWith('#'));
}

function testNameOf(line) {
  return line.split(' | ')[0].trim();
}

function runVitest(files) {
  const folder = mkdtempSync(join(tmpdir(), 'lilacledge-tests-'));
  const file = join(folder, 'outcomes.json');
  spawnSync(
    process.execPath,
    [
      'node_modules/vitest/vitest.mjs',
      'run',
      '--reporter=default',
      '--reporter=./scripts/outcomeReporter.mjs',
      ...files,
    ],
    {stdio: 'inherit', env: {...process.env, OUTCOMES_FILE: file}},
  );
  const text = existsSync(file) ? readFileSync(file, 'utf8') : undefined;
  rmSync(folder, {recursive: true});
  return text && JSON.parse(text);
}

function findListProblems(lines) {
  const problems = lines
    .filter((line) => line.split(' | ').length !== FIELDS_PER_LINE)
    .map(
      (line) =>
        `${KNOWN_FAILURES_FILE}: ${FIELDS_PER_LINE} fields are wanted: ${line}`,
    );
  if (lines.length > MAX_KNOWN_FAILURES) {
    problems.push(
      `${KNOWN_FAILURES_FILE}: ${MAX_KNOWN_FAILURES} lines at most`,
    );
  }
  return problems;
}

function findRunProblems(names, report) {
  if (report === undefined) return ['the tests did not run to their end'];
  const {outcomes, brokenFiles, unhandledErrors} = report;
  const problems = brokenFiles.map((file) => `failed as a whole: ${file}`);
  if (Object.keys(outcomes).length === 0) problems.push('no test was run');
  if (unhandledErrors > 0) {
    problems.push(`errors outside of tests: ${unhandledErrors}`);
  }
  for (const [name, state] of Object.entries(outcomes)) {
    if (state === 'failed' && !names.includes(name)) {
      problems.push(`failed: ${name}`);
    }
  }
  for (const name of names) {
    const isChosen = chosenFiles.length === 0 || name in outcomes;
    if (isChosen && !['passed', 'failed'].includes(outcomes[name])) {
      problems.push(
        `${KNOWN_FAILURES_FILE} names it, and it did not run: ${name}`,
      );
    }
  }
  return problems;
}
