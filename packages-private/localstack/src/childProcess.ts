import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {createInterface} from 'node:readline';

/** A started process with its last lines of output. */
export interface Child {
  readonly name: string;
  readonly pid: number;
  readonly output: readonly string[];
  readonly isRunning: boolean;
  /** Resolves with the exit code, or with the signal that ended it. */
  readonly exited: Promise<number | NodeJS.Signals | null>;
  signal(signal: NodeJS.Signals): void;
}

const MAX_OUTPUT_LINES = 200;
const START_TIMEOUT_MS = 30_000;

/**
 * Starts a Node.js script and waits until its output reports that it listens.
 */
export async function startChild(
  name: string,
  script: string,
  args: readonly string[],
): Promise<Child> {
  const child = spawn(process.execPath, [script, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const output: string[] = [];
  const exited = new Promise<number | NodeJS.Signals | null>((resolve) => {
    child.once('exit', (code, signal) => resolve(code ?? signal));
  });
  await new Promise<void>((resolve, reject) => {
    const timer = setTimeout(() => {
      child.kill('SIGKILL');
      reject(new Error(`${name} did not listen in time: ${output.join('\n')}`));
    }, START_TIMEOUT_MS);
    readLines(child, (line) => {
      output.push(line);
      if (output.length > MAX_OUTPUT_LINES) output.shift();
      if (!/listen(s|ing)/.test(line)) return;
      clearTimeout(timer);
      resolve();
    });
    void exited.then((code) => {
      clearTimeout(timer);
      reject(
        new Error(
          `${name} exited with ${code} before it listened: ${output.join('\n')}`,
        ),
      );
    });
  });
  return {
    name,
    pid: child.pid!,
    output,
    exited,
    get isRunning() {
      return child.exitCode === null && child.signalCode === null;
    },
    signal: (signal) => void child.kill(signal),
  };
}

function readLines(child: ChildProcess, onLine: (line: string) => void): void {
  for (const stream of [child.stdout!, child.stderr!]) {
    createInterface({input: stream}).on('line', onLine);
  }
}
