import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {createInterface} from 'node:readline';

/** One started process, with its last lines of output. */
export interface Child {
  readonly name: string;
  readonly pid: number;
  readonly output: readonly string[];
  readonly isRunning: boolean;
  /** Resolves with the exit code, or with the signal that ended it. */
  readonly exited: Promise<number | NodeJS.Signals | null>;
  signal(signal: NodeJS.Signals): void;
}

const KEPT_LINES = 200;
const START_LIMIT_MS = 30_000;

/** Starts a node script and waits for the line that says that it listens. */
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
      reject(new Error(`${name} did not start: ${output.join('\n')}`));
    }, START_LIMIT_MS);
    readLines(child, (line) => {
      output.push(line);
      if (output.length > KEPT_LINES) output.shift();
      if (!/listen(s|ing)/.test(line)) return;
      clearTimeout(timer);
      resolve();
    });
    void exited.then((code) => {
      clearTimeout(timer);
      reject(new Error(`${name} ended with ${code}: ${output.join('\n')}`));
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
