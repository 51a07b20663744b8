import {createRandom, VirtualClock} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';
import {Exposure, PART_PREFIX} from '../crashReports.js';
import {CrashSuspicions} from '../crashSuspicions.js';

/** Crashes after which a deadly part must be stopped, and the time until then. */
const TOLERATED_CRASHES = 5;
const CONTACT_MS = 3_000;

/** A stream proves that its request is harmless after this time, or when it is complete. */
const PROOF_MS = 250;

const RESTART_MS = 3_000;
const TRIAL_MS = 5_000;
const FIRST_EVENT_MS = 40;
const MAX_PREFILL_MS = 400;
const MAX_STREAM_MS = 2_000;

/** What a series sends, and what happens to its engines. */
export interface CrashSeries {
  readonly engines: number;
  readonly forMs: number;
  readonly soundIntervalMs: number;
  readonly soundParts: (random: Random) => readonly string[];
  /** Sound requests are all the same. */
  readonly isSoundAlike?: boolean;
  readonly deadlyIntervalMs?: number;
  readonly deadlyParts?: (random: Random) => readonly string[];
  /** Engines crash at this interval, whatever they run. */
  readonly otherCrashIntervalMs?: number;
  /** All engines crash together at this interval. */
  readonly commonCrashIntervalMs?: number;
  /** Time from the answer head of a deadly request to the crash. */
  readonly crashDelayMs?: number;
}

export interface SeriesResult {
  /** Crashes under deadly requests. */
  readonly crashes: number;
  /** Deadly requests sent later than allowed. */
  readonly lateSends: number;
  readonly sound: number;
  readonly soundRefused: number;
}

/** What decides on requests; replaced to compare ways of doing so. */
export type CrashJudge = Pick<
  CrashSuspicions,
  'verdict' | 'noteRequest' | 'noteCrash' | 'noteServed'
>;

interface Run {
  readonly features: readonly string[];
  readonly isDeadly: boolean;
  readonly sentAtMs: number;
  state: 'waiting' | 'begun' | 'started' | 'proven';
}

interface Engine {
  life: string;
  isUp: boolean;
  runs: Set<Run>;
}

/** Plays a series against engines that crash under deadly requests. */
export class CrashSimulation {
  readonly clock = new VirtualClock();
  private readonly random: Random;
  private readonly judge: CrashJudge;
  private readonly engines: Engine[];
  private readonly deadlyCrashesMs: number[] = [];
  private readonly deadlySendsMs: number[] = [];
  private sound = 0;
  private soundRefused = 0;
  private sequence = 0;
  private trialUntilMs = 0;

  constructor(
    private readonly series: CrashSeries,
    seed: number,
    createJudge: (clock: VirtualClock) => CrashJudge = (clock) =>
      new CrashSuspicions(clock),
  ) {
    this.random = createRandom(seed);
    this.judge = createJudge(this.clock);
    this.engines = Array.from({length: series.engines}, () =>
      this.startedEngine(),
    );
  }

  async run(): Promise<SeriesResult> {
    const {series, random} = this;
    this.every(series.soundIntervalMs, () =>
      this.send(series.soundParts(random), false),
    );
    this.every(series.deadlyIntervalMs, () =>
      this.send(series.deadlyParts!(random), true),
    );
    this.every(series.otherCrashIntervalMs, () => this.crash(this.pick()));
    this.every(series.commonCrashIntervalMs, () => {
      for (const engine of this.engines) this.crash(engine);
    });
    await this.clock.advance(series.forMs);
    const fifthMs = this.deadlyCrashesMs[TOLERATED_CRASHES - 1] ?? Infinity;
    return {
      crashes: this.deadlyCrashesMs.length,
      lateSends: this.deadlySendsMs.filter(
        (atMs) => atMs > fifthMs + CONTACT_MS,
      ).length,
      sound: this.sound,
      soundRefused: this.soundRefused,
    };
  }

  private every(intervalMs: number | undefined, task: () => void): void {
    if (intervalMs === undefined) return;
    this.clock.after(intervalMs * (0.5 + this.random()), () => {
      task();
      this.every(intervalMs, task);
    });
  }

  private startedEngine(): Engine {
    return {life: `life-${++this.sequence}`, isUp: true, runs: new Set()};
  }

  private pick(): Engine | undefined {
    const up = this.engines.filter(({isUp}) => isUp);
    return up[Math.floor(this.random() * up.length)];
  }

  private send(parts: readonly string[], isDeadly: boolean): void {
    const isAlike = !isDeadly && this.series.isSoundAlike === true;
    const content = isAlike ? 'alike' : `request-${++this.sequence}`;
    const features = [content, ...parts.map((part) => PART_PREFIX + part)];
    this.judge.noteRequest('drafts', features);
    const {kind} = this.judge.verdict(features);
    if (!isDeadly) this.sound++;
    if (kind === 'quarantined' || (kind === 'onTrial' && !this.startTrial())) {
      if (!isDeadly) this.soundRefused++;
      return;
    }
    const engine = this.pick();
    if (engine === undefined) return;
    const sentAtMs = this.clock.nowMs();
    if (isDeadly) this.deadlySendsMs.push(sentAtMs);
    const run: Run = {features, isDeadly, sentAtMs, state: 'waiting'};
    engine.runs.add(run);
    this.later(engine, run, MAX_PREFILL_MS * this.random(), () =>
      this.begin(engine, run),
    );
  }

  /** False while another request is on trial. */
  private startTrial(): boolean {
    const nowMs = this.clock.nowMs();
    if (nowMs < this.trialUntilMs) return false;
    this.trialUntilMs = nowMs + TRIAL_MS;
    return true;
  }

  /** Runs `task` after a time unless the engine has crashed by then. */
  private later(
    engine: Engine,
    run: Run,
    delayMs: number,
    task: () => void,
  ): void {
    this.clock.after(delayMs, () => {
      if (engine.runs.has(run)) task();
    });
  }

  private begin(engine: Engine, run: Run): void {
    run.state = 'begun';
    if (run.isDeadly) {
      const {crashDelayMs = FIRST_EVENT_MS / 2} = this.series;
      this.later(engine, run, crashDelayMs, () => {
        this.deadlyCrashesMs.push(this.clock.nowMs());
        this.crash(engine);
      });
    }
    this.later(engine, run, FIRST_EVENT_MS, () => {
      run.state = 'started';
      const streamMs = MAX_STREAM_MS * (run.isDeadly ? 1 : this.random());
      this.later(engine, run, Math.min(PROOF_MS, streamMs), () => {
        run.state = 'proven';
        this.judge.noteServed(run.features);
      });
      this.later(engine, run, streamMs, () => engine.runs.delete(run));
    });
  }

  private crash(engine: Engine | undefined): void {
    if (engine === undefined || !engine.isUp) return;
    const nowMs = this.clock.nowMs();
    const runs = [...engine.runs].filter(({state}) => state !== 'proven');
    const {life} = engine;
    engine.runs = new Set();
    engine.isUp = false;
    for (const {features, sentAtMs, state} of runs) {
      const exposure = state === 'begun' ? Exposure.RUNNING : Exposure.WAITING;
      const sentAgoMs = nowMs - sentAtMs;
      const hasEvents = state === 'started';
      const crash = {life, exposure, hasEvents, agoMs: 0, sentAgoMs};
      this.judge.noteCrash(features, crash);
    }
    this.clock.after(RESTART_MS, () => {
      Object.assign(engine, this.startedEngine());
    });
  }
}
