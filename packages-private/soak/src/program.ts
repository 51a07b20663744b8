import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {createWriteStream, readFileSync, writeFileSync} from 'node:fs';
import type {WriteStream} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {nodeSettingsText} from '@lilacledge/platform-standins';
import type {TestNodeSettings} from '@lilacledge/platform-standins';
import {sleep, systemClock} from '@lilacledge/shared';
import {describeExit, isCausedBySoak} from './ownEnd.js';

const BUNDLE_PATH = fileURLToPath(
  new URL('../../../target/lilacledged.cjs', import.meta.url),
);

/** Delay until a program that ended is restarted. */
const RESTART_DELAY_MS = 150;

/** Memory that the settings give a program. */
const MEMORY_MB = 200;

const OPTIONS_OF_ROLE = {
  entry: ['--max-old-space-size=110', '--expose-gc', '--max-semi-space-size=1'],
  sidecar: ['--max-old-space-size=110'],
} as const;

/** A real program in a process of its own, restarted whenever it ends. */
export class Program {
  /** Number of starts so far. Each start is a new process that keeps no state of the last one. */
  incarnation = 0;
  private child: ChildProcess | undefined;
  private isClosed = false;
  private readonly log: WriteStream;
  private readonly settingsPath: string;
  private killTimer: NodeJS.Timeout | undefined;
  /** True once the running program was told to end. */
  private isEnding = false;
  /** True while a program runs that was started after a requested end. */
  private isRestart = false;
  private startedAtMs = 0;
  /** Signals that the running program was sent. */
  private readonly sent = new Set<NodeJS.Signals>();

  constructor(
    readonly role: 'entry' | 'sidecar',
    readonly node: TestNodeSettings,
    folder: string,
    /** Called when the program ends without having been told to. */
    private readonly onOwnEnd: (end: string) => void,
    /** Called at each end of the program. */
    private readonly onEnd: () => void,
    /** Awaited before the program is started again. */
    private readonly beforeRestart: (
      node: TestNodeSettings,
    ) => Promise<void> = async () => {},
  ) {
    this.settingsPath = join(folder, `${node.name}.toml`);
    this.log = createWriteStream(join(folder, `${node.name}.log`));
    this.writeSettings(node);
    this.start();
  }

  get pid(): number | undefined {
    return this.child?.pid;
  }

  get memoryMb(): number {
    return this.node.memoryMb ?? MEMORY_MB;
  }

  get isRunning(): boolean {
    return this.child !== undefined;
  }

  /** Writes the settings file; only the first start counts as that of the deployment. */
  writeSettings(node: TestNodeSettings): void {
    const isFirstStart = node.isFirstStart && this.incarnation === 0;
    const text = nodeSettingsText({...node, isFirstStart});
    writeFileSync(this.settingsPath, text);
  }

  signal(signal: NodeJS.Signals): void {
    if (signal === 'SIGKILL') this.isEnding = true;
    this.sent.add(signal);
    this.child?.kill(signal);
  }

  /** Stops the program as the platform does: SIGTERM, then SIGKILL after the grace period. */
  stopGracefully(): void {
    const {child} = this;
    this.isEnding = true;
    child?.kill('SIGTERM');
    this.killTimer = setTimeout(
      () => child?.kill('SIGKILL'),
      this.node.graceS * 1_000,
    );
  }

  /** Ends the program without a restart. */
  async close(): Promise<void> {
    this.isClosed = true;
    clearTimeout(this.killTimer);
    const {child} = this;
    if (child !== undefined) {
      const exited = new Promise((resolve) => child.once('exit', resolve));
      child.kill('SIGKILL');
      await exited;
    }
    await new Promise<void>((resolve) => this.log.end(resolve));
  }

  /** What the program has logged, once it is closed. */
  readLog(): string {
    return readFileSync(this.log.path, 'utf8');
  }

  private start(): void {
    if (this.isClosed) return;
    this.incarnation++;
    this.startedAtMs = systemClock.nowMs();
    this.sent.clear();
    const child = spawn(
      process.execPath,
      [...OPTIONS_OF_ROLE[this.role], BUNDLE_PATH, this.role],
      {
        env: {...process.env, LILACLEDGE_BOOT: this.settingsPath},
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    this.child = child;
    child.stdout.pipe(this.log, {end: false});
    child.stderr.pipe(this.log, {end: false});
    child.once('exit', (code, signal) => {
      if (!this.isEnding && !this.isClosed) this.noteOwnEnd(code, signal);
      this.onEnd();
      this.isRestart = this.isEnding;
      this.isEnding = false;
      clearTimeout(this.killTimer);
      this.child = undefined;
      this.writeSettings(this.node);
      void this.startAgain();
    });
  }

  private async startAgain(): Promise<void> {
    await sleep(systemClock, RESTART_DELAY_MS);
    if (this.isClosed) return;
    await this.beforeRestart(this.node);
    this.start();
  }

  private noteOwnEnd(code: number | null, signal: NodeJS.Signals | null): void {
    const {isRestart, sent, startedAtMs} = this;
    const ageMs = systemClock.nowMs() - startedAtMs;
    const end = {code, signal, ageMs, isRestart, sent};
    if (!isCausedBySoak(end)) this.onOwnEnd(describeExit(this.node.name, end));
  }
}
