import type {CancelTimer, Clock} from './clock.js';

/** What an operating system tells of time, in milliseconds. */
export interface TimeSources {
  /** Steady time, which stands while the instance is suspended. */
  steadyMs(): number;
  /** Unix time, which operators and others may set. */
  wallMs(): number;
  /** Time since the instance was started, suspensions included; undefined when it can't be read. */
  bootMs(): number | undefined;
  /** Runs `task` once after `delayMs` of steady time. */
  after(delayMs: number, task: () => void): CancelTimer;
}

/** What became visible of time that the steady clock did not count. */
export type ClockGap =
  /** The instance was suspended; the time is counted from now on. */
  | {readonly kind: 'suspended'; readonly gapMs: number}
  /** The time of day was set, by so much. */
  | {readonly kind: 'stepped'; readonly stepMs: number}
  /** One of both: no clock that counts suspensions can be trusted here. */
  | {readonly kind: 'unknown'; readonly jumpMs: number};

/** The time of day is corrected by less than this between two looks; more is looked into. */
const LEAST_DRIFT_MS = 5;

/** A step of the time of day, or a gap of an unknown kind, below this is not told. */
const LEAST_TOLD_MS = 100;

/** How often the boot clock is compared, in steady time: a look costs microseconds. */
const CHECK_INTERVAL_MS = 250;

/** Differences below this are its resolution, and the time between two readings. */
const BOOT_TOLERANCE_MS = 30;

/** Checks in a row in which it has run like the steady clock before it is trusted. */
const CHECKS_TO_TRUST = 20;

interface Reading {
  readonly steadyMs: number;
  readonly bootMs: number;
}

interface PendingTimer {
  readonly dueMs: number;
  readonly task: () => void;
  cancel: CancelTimer;
}

/**
 * Steady time that includes suspensions of the instance, with timers that are due by it.
 *
 * The steady clock stands while an instance is suspended, and all that has an age would be
 * too young afterwards: news of leaves and orders, leases, deadlines of callers. Clocks that
 * count suspensions are slow to read and coarse, so that one is asked only when the time of
 * day has moved against the steady clock. It tells a suspension from a step of the time of
 * day, where it has been seen to run like the steady clock; under some hosts it tells the
 * time of another machine, and then a gap is told of, and not counted.
 */
export class SuspensionClock implements Clock {
  private suspendedMs = 0;
  private wallLeadMs: number;
  private checked: Reading | undefined;
  private goodChecks = 0;
  private checkedAtMs: number;
  private readonly pending = new Set<PendingTimer>();
  private readonly listeners: Array<(gap: ClockGap) => void> = [];

  constructor(private readonly sources: TimeSources) {
    const steadyMs = sources.steadyMs();
    this.wallLeadMs = sources.wallMs() - steadyMs;
    this.checkedAtMs = steadyMs;
    this.checked = this.read(steadyMs);
  }

  nowMs(): number {
    const {sources} = this;
    const steadyMs = sources.steadyMs();
    const leadMs = sources.wallMs() - steadyMs;
    const isDue = steadyMs - this.checkedAtMs >= CHECK_INTERVAL_MS;
    const hasDrifted = Math.abs(leadMs - this.wallLeadMs) > LEAST_DRIFT_MS;
    if (!isDue && !hasDrifted) {
      this.wallLeadMs = leadMs;
      return steadyMs + this.suspendedMs;
    }
    // Read again: the process may have been held up between the two.
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
    this.arm(timer, delayMs);
    return () => {
      this.pending.delete(timer);
      timer.cancel();
    };
  }

  /** Calls `listener` at the first look at the time after a gap. */
  onGap(listener: (gap: ClockGap) => void): void {
    this.listeners.push(listener);
  }

  private arm(timer: PendingTimer, delayMs: number): void {
    this.pending.add(timer);
    timer.cancel = this.sources.after(Math.max(0, delayMs), () => {
      this.pending.delete(timer);
      timer.task();
    });
  }

  /** Compares the three clocks since the last time, and counts what was missed. */
  private compare(steadyMs: number): void {
    const leadMs = this.sources.wallMs() - steadyMs;
    const jumpMs = leadMs - this.wallLeadMs;
    this.wallLeadMs = leadMs;
    const isTrusted = this.goodChecks >= CHECKS_TO_TRUST;
    const aheadMs = this.bootLeadMs(steadyMs) ?? Number.NaN;
    const isLike = Math.abs(aheadMs) <= BOOT_TOLERANCE_MS;
    const isGap = isTrusted && aheadMs > BOOT_TOLERANCE_MS;
    // Alone it is believed once: the time of day moves too, unless set to hide just that.
    const isBorneOut = isGap && Math.abs(jumpMs) > LEAST_DRIFT_MS;
    if (isLike) this.goodChecks++;
    else if (!isBorneOut) this.goodChecks = 0;
    if (isGap) this.count(aheadMs, steadyMs);
    else if (Math.abs(jumpMs) > LEAST_TOLD_MS) {
      const isStep = isTrusted && isLike;
      this.tell(
        isStep ? {kind: 'stepped', stepMs: jumpMs} : {kind: 'unknown', jumpMs},
      );
    }
  }

  /** The instance was suspended: all is as much older, and timers are due sooner. */
  private count(gapMs: number, steadyMs: number): void {
    this.suspendedMs += gapMs;
    this.rearm(steadyMs + this.suspendedMs);
    this.tell({kind: 'suspended', gapMs});
  }

  /** By how much the boot clock went further than the steady one since the last look. */
  private bootLeadMs(steadyMs: number): number | undefined {
    const before = this.checked;
    const now = this.read(steadyMs);
    this.checked = now;
    this.checkedAtMs = steadyMs;
    if (before === undefined || now === undefined) return undefined;
    return now.bootMs - before.bootMs - (now.steadyMs - before.steadyMs);
  }

  private read(steadyMs: number): Reading | undefined {
    const bootMs = this.sources.bootMs();
    return bootMs === undefined ? undefined : {steadyMs, bootMs};
  }

  /** Timers that fell due meanwhile run at once, the others as much sooner. */
  private rearm(nowMs: number): void {
    const inOrder = [...this.pending].sort((a, b) => a.dueMs - b.dueMs);
    this.pending.clear();
    for (const timer of inOrder) {
      timer.cancel();
      this.arm(timer, timer.dueMs - nowMs);
    }
  }

  private tell(gap: ClockGap): void {
    for (const listener of this.listeners) listener(gap);
  }
}
