import type {CancelTimer, Clock} from './clock.js';

/** Clocks and timers of the operating system, in milliseconds. */
export interface TimeSources {
  /** Monotonic time, which stops while the instance is suspended. */
  steadyMs(): number;
  /** Unix time, which can be set. */
  wallMs(): number;
  /** Time since the boot of the instance, including suspensions; undefined if unreadable. */
  bootMs(): number | undefined;
  /** Runs `task` once after `delayMs` of steady time. */
  after(delayMs: number, task: () => void): CancelTimer;
}

/** A discontinuity between the clocks, found when they are compared. */
export type ClockGap =
  /** The instance was suspended; `nowMs` includes that time from now on. */
  | {readonly kind: 'suspended'; readonly gapMs: number}
  /** The wall clock was set. */
  | {readonly kind: 'stepped'; readonly stepMs: number}
  /** A suspension or a step of the wall clock: the boot clock is not reliable here. */
  | {readonly kind: 'unknown'; readonly jumpMs: number};

/** Corrections of the wall clock between two readings are smaller; more needs a comparison. */
const MIN_WALL_JUMP_MS = 5;

/** Smaller steps of the wall clock and smaller gaps of unknown kind are not reported. */
const MIN_REPORTED_JUMP_MS = 100;

/** How often the boot clock is read, in steady time; a reading costs microseconds. */
const BOOT_CHECK_INTERVAL_MS = 250;

/** Covers the resolution of the boot clock and the time between the two readings. */
const BOOT_TOLERANCE_MS = 30;

/** Consecutive checks in which the boot clock must match the steady clock to be trusted. */
const MIN_CONSISTENT_CHECKS = 20;

/** The longest delay of the operating system's timers, which run a task with a longer one at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;

interface ClockReading {
  readonly steadyMs: number;
  readonly bootMs: number;
}

interface PendingTimer {
  readonly dueMs: number;
  readonly task: () => void;
  cancel: CancelTimer;
}

/**
 * A monotonic clock that includes suspensions of the instance, with timers that follow it.
 *
 * The steady clock stops while an instance is suspended. Without a correction, everything
 * with an age would seem too recent afterwards: leave notices, orders, leases and deadlines
 * of callers. Clocks that include suspensions are slow to read and coarse, so the boot clock
 * is read only at intervals and when the wall clock has moved against the steady clock. It
 * distinguishes a suspension from a step of the wall clock, provided that it has been seen
 * to match the steady clock. On some hosts it gives the time of another machine: a gap is
 * then reported, but not included.
 */
export class SuspensionClock implements Clock {
  private suspendedMs = 0;
  private wallOffsetMs: number;
  private lastReading: ClockReading | undefined;
  private consistentChecks = 0;
  private lastCheckAtMs: number;
  private readonly pending = new Set<PendingTimer>();
  private readonly listeners: Array<(gap: ClockGap) => void> = [];

  constructor(private readonly sources: TimeSources) {
    const steadyMs = sources.steadyMs();
    this.wallOffsetMs = sources.wallMs() - steadyMs;
    this.lastCheckAtMs = steadyMs;
    this.lastReading = this.read(steadyMs);
  }

  nowMs(): number {
    const {sources} = this;
    const steadyMs = sources.steadyMs();
    const offsetMs = sources.wallMs() - steadyMs;
    const isDue = steadyMs - this.lastCheckAtMs >= BOOT_CHECK_INTERVAL_MS;
    const hasDrifted =
      Math.abs(offsetMs - this.wallOffsetMs) > MIN_WALL_JUMP_MS;
    if (!isDue && !hasDrifted) {
      this.wallOffsetMs = offsetMs;
      return steadyMs + this.suspendedMs;
    }
    // Read the steady clock again: the process may have been paused since the first reading.
    this.compare(sources.steadyMs());
    return sources.steadyMs() + this.suspendedMs;
  }

  wallMs(): number {
    return this.sources.wallMs();
  }

  after(delayMs: number, task: () => void): CancelTimer {
    const timer: PendingTimer = {
      dueMs: this.nowMs() + Math.max(0, delayMs),
      task,
      cancel: () => {},
    };
    this.schedule(timer, delayMs);
    return () => {
      this.pending.delete(timer);
      timer.cancel();
    };
  }

  /** Calls `listener` when the first reading after a gap detects it. */
  onGap(listener: (gap: ClockGap) => void): void {
    this.listeners.push(listener);
  }

  private schedule(timer: PendingTimer, delayMs: number): void {
    this.pending.add(timer);
    const partMs = Math.min(MAX_TIMER_MS, Math.max(0, delayMs));
    timer.cancel = this.sources.after(partMs, () => {
      this.pending.delete(timer);
      if (partMs < MAX_TIMER_MS) timer.task();
      else this.schedule(timer, timer.dueMs - this.nowMs());
    });
  }

  /** Compares how far the three clocks moved since the last check, and adds a suspension. */
  private compare(steadyMs: number): void {
    const offsetMs = this.sources.wallMs() - steadyMs;
    const jumpMs = offsetMs - this.wallOffsetMs;
    this.wallOffsetMs = offsetMs;
    const isTrusted = this.consistentChecks >= MIN_CONSISTENT_CHECKS;
    const bootAheadMs = this.bootDriftMs(steadyMs) ?? Number.NaN;
    const matchesSteady = Math.abs(bootAheadMs) <= BOOT_TOLERANCE_MS;
    const isGap = isTrusted && bootAheadMs > BOOT_TOLERANCE_MS;
    // A gap that only the boot clock shows is accepted once and then resets the trust in it:
    // a suspension moves the wall clock too, unless that was set to hide exactly this gap.
    const isConfirmed = isGap && Math.abs(jumpMs) > MIN_WALL_JUMP_MS;
    if (matchesSteady) this.consistentChecks++;
    else if (!isConfirmed) this.consistentChecks = 0;
    if (isGap) this.count(bootAheadMs, steadyMs);
    else if (Math.abs(jumpMs) > MIN_REPORTED_JUMP_MS) {
      const isStep = isTrusted && matchesSteady;
      this.notify(
        isStep ? {kind: 'stepped', stepMs: jumpMs} : {kind: 'unknown', jumpMs},
      );
    }
  }

  /** Adds a suspension to the time, which brings timers forward. */
  private count(gapMs: number, steadyMs: number): void {
    this.suspendedMs += gapMs;
    this.reschedule(steadyMs + this.suspendedMs);
    this.notify({kind: 'suspended', gapMs});
  }

  /** How far the boot clock moved ahead of the steady clock since the last check. */
  private bootDriftMs(steadyMs: number): number | undefined {
    const before = this.lastReading;
    const now = this.read(steadyMs);
    this.lastReading = now;
    this.lastCheckAtMs = steadyMs;
    if (before === undefined || now === undefined) return undefined;
    return now.bootMs - before.bootMs - (now.steadyMs - before.steadyMs);
  }

  private read(steadyMs: number): ClockReading | undefined {
    const bootMs = this.sources.bootMs();
    return bootMs === undefined ? undefined : {steadyMs, bootMs};
  }

  /** Sets all timers anew: overdue ones run at once, the others earlier by the suspension. */
  private reschedule(nowMs: number): void {
    const inOrder = [...this.pending].sort((a, b) => a.dueMs - b.dueMs);
    this.pending.clear();
    for (const timer of inOrder) {
      timer.cancel();
      this.schedule(timer, timer.dueMs - nowMs);
    }
  }

  private notify(gap: ClockGap): void {
    for (const listener of this.listeners) listener(gap);
  }
}
