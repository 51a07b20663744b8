/**
 * Runs the tests. Those that KNOWN-RED.txt names may fail, and are printed; anything
 * else that fails, and a named test that does not, ends in failure.
 *
 * A line of KNOWN-RED.txt: `file > describe > test | command and seed | cause | issue`.
 */
import {spawnSync} from 'node:child_process';
import {existsSync, mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

const LIST = 'KNOWN-RED.txt';

/** More open faults than this are not landed. */
const MOST_KNOWN = 3;

const FIELDS = 4;

const chosenFiles = process.argv.slice(2);
const known = knownRed();
const report = runVitest(chosenFiles);
for (const line of known) console.log(`known red: ${line}`);
const problems = [
  ...problemsOfList(known),
  ...problemsOfRun(known.map(nameOf), report),
];
for (const problem of problems) console.log(problem);
process.exitCode = problems.length > 0 ? 1 : 0;

function knownRed() {
  if (!existsSync(LIST)) return [];
  const lines = readFileSync(LIST, 'utf8').split('\n');
  return lines.filter((line) => line.trim() !== '' && !line.startsWith('#'));
}

function nameOf(line) {
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

function problemsOfList(lines) {
  const problems = lines
    .filter((line) => line.split(' | ').length !== FIELDS)
    .map((line) => `${LIST}: ${FIELDS} fields are wanted: ${line}`);
  if (lines.length > MOST_KNOWN) {
    problems.push(`${LIST}: ${MOST_KNOWN} lines at most`);
  }
  return problems;
}

function problemsOfRun(names, report) {
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
    if (isChosen && outcomes[name] !== 'failed') {
      problems.push(`${LIST} names it, and it does not fail: ${name}`);
    }
  }
  return problems;
}
