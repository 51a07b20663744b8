import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {createWriteStream, writeFileSync} from 'node:fs';
import type {WriteStream} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {nodeSettingsText} from '@lilacledge/platform-standins';
import type {StandinNode} from '@lilacledge/platform-standins';
import {systemClock} from '@lilacledge/shared';
import {describeEnd, isBroughtAbout} from './ownEnd.js';

const BUNDLE = fileURLToPath(
  new URL('../../../target/lilacledged.cjs', import.meta.url),
);

/** Pause until a program that ended is started again. */
const RESTART_PAUSE_MS = 150;

/** A real program in a process of its own, started again when it ends. */
export class Program {
  /** Counts the starts: knowledge of one is no knowledge of the next. */
  incarnation = 0;
  private child: ChildProcess | undefined;
  private isOver = false;
  private readonly log: WriteStream;
  private readonly settingsPath: string;
  private killTimer: NodeJS.Timeout | undefined;
  /** True once it was told to end. */
  private isTold = false;
  /** True while the program runs that was started after it had been told to end. */
  private isRestart = false;
  private startedAtMs = 0;
  /** Signals that the running program was sent. */
  private readonly sent = new Set<NodeJS.Signals>();

  constructor(
    readonly role: 'entry' | 'sidecar',
    readonly node: StandinNode,
    folder: string,
    /** Hears of an end that nobody asked for. */
    private readonly onOwnEnd: (end: string) => void,
    /** Hears of each end. */
    private readonly onEnd: () => void,
  ) {
    this.settingsPath = join(folder, `${node.name}.toml`);
    this.log = createWriteStream(join(folder, `${node.name}.log`));
    this.writeSettings(node);
    this.start();
  }

  get isRunning(): boolean {
    return this.child !== undefined;
  }

  /** Only its first start is one of the whole deployment. */
  writeSettings(node: StandinNode): void {
    const isFirstStart = node.isFirstStart && this.incarnation === 0;
    const text = nodeSettingsText({...node, isFirstStart});
    writeFileSync(this.settingsPath, text);
  }

  signal(signal: NodeJS.Signals): void {
    if (signal === 'SIGKILL') this.isTold = true;
    this.sent.add(signal);
    this.child?.kill(signal);
  }

  /** As the platform stops a process: SIGTERM, and SIGKILL after the grace. */
  stopGracefully(): void {
    const {child} = this;
    this.isTold = true;
    child?.kill('SIGTERM');
    this.killTimer = setTimeout(
      () => child?.kill('SIGKILL'),
      this.node.graceS * 1_000,
    );
  }

  /** Ends the program for good. */
  async close(): Promise<void> {
    this.isOver = true;
    clearTimeout(this.killTimer);
    const {child} = this;
    if (child !== undefined) {
      const exited = new Promise((resolve) => child.once('exit', resolve));
      child.kill('SIGKILL');
      await exited;
    }
    this.log.end();
  }

  private start(): void {
    if (this.isOver) return;
    this.incarnation++;
    this.startedAtMs = systemClock.nowMs();
    this.sent.clear();
    const child = spawn(
      process.execPath,
      ['--max-old-space-size=110', BUNDLE, this.role],
      {
        env: {...process.env, LILACLEDGE_BOOT: this.settingsPath},
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    this.child = child;
    child.stdout.pipe(this.log, {end: false});
    child.stderr.pipe(this.log, {end: false});
    child.once('exit', (code, signal) => {
      if (!this.isTold && !this.isOver) this.noteOwnEnd(code, signal);
      this.onEnd();
      this.isRestart = this.isTold;
      this.isTold = false;
      clearTimeout(this.killTimer);
      this.child = undefined;
      this.writeSettings(this.node);
      setTimeout(() => this.start(), RESTART_PAUSE_MS);
    });
  }

  private noteOwnEnd(code: number | null, signal: NodeJS.Signals | null): void {
    const {isRestart, sent, startedAtMs} = this;
    const ageMs = systemClock.nowMs() - startedAtMs;
    const end = {code, signal, ageMs, isRestart, sent};
    if (!isBroughtAbout(end)) this.onOwnEnd(describeEnd(this.node.name, end));
  }
}
