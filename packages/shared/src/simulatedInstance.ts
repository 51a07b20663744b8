import type {CancelTimer, Clock} from './clock.js';
import type {TimeSources} from './suspensionClock.js';

/** A smaller remaining delay of a timer is a rounding error. */
const MIN_DELAY_MS = 0.001;

/** Resolution of the boot clock, as on Linux. */
const BOOT_TICK_MS = 10;

/**
 * Time sources of a simulated instance that can be suspended, for tests. The time outside
 * the instance is that of the given clock, which goes on during a suspension.
 */
export class SimulatedInstance implements TimeSources {
  /** How far the wall clock of the instance is wrong. */
  wallErrorMs = 0;
  /** False if the boot clock can't be read. */
  hasBootClock = true;
  /** Speed of the boot clock relative to real time. */
  bootClockRate = 1;
  private suspendedMs = 0;
  private suspendedAtMs: number | undefined;
  private deferred: Array<() => void> = [];

  constructor(private readonly clock: Clock) {}

  get isSuspended(): boolean {
    return this.suspendedAtMs !== undefined;
  }

  steadyMs(): number {
    const nowMs = this.suspendedAtMs ?? this.clock.nowMs();
    return nowMs - this.suspendedMs;
  }

  wallMs(): number {
    return this.clock.wallMs() + this.wallErrorMs;
  }

  bootMs(): number | undefined {
    if (!this.hasBootClock) return undefined;
    const bootMs = this.clock.nowMs() * this.bootClockRate;
    return Math.floor(bootMs / BOOT_TICK_MS) * BOOT_TICK_MS;
  }

  after(delayMs: number, task: () => void): CancelTimer {
    const dueMs = this.steadyMs() + delayMs;
    let cancel: CancelTimer = () => {};
    let isCancelled = false;
    const run = (): void => {
      if (isCancelled) return;
      const leftMs = dueMs - this.steadyMs();
      if (this.isSuspended) this.deferred.push(run);
      else if (leftMs > MIN_DELAY_MS) cancel = this.clock.after(leftMs, run);
      else task();
    };
    cancel = this.clock.after(delayMs, run);
    return () => {
      isCancelled = true;
      cancel();
    };
  }

  suspend(): void {
    this.suspendedAtMs ??= this.clock.nowMs();
  }

  /** Ends the suspension and runs what was deferred, in the order of its arrival. */
  resume(): void {
    if (this.suspendedAtMs === undefined) return;
    this.suspendedMs += this.clock.nowMs() - this.suspendedAtMs;
    this.suspendedAtMs = undefined;
    const {deferred} = this;
    this.deferred = [];
    for (const run of deferred) run();
  }

  /** Resolves at once, or after the suspension, as data that waits in a socket does. */
  whenResumed(): Promise<void> {
    if (!this.isSuspended) return Promise.resolve();
    return new Promise((resolve) => this.deferred.push(resolve));
  }
}
