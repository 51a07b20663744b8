import type {CancelTimer, Clock} from './clock.js';
import type {TimeSources} from './suspensionClock.js';

/** Less is left of a timer only by rounding. */
const LEAST_LEFT_MS = 0.001;

/** Step in which the boot clock of an operating system counts. */
const BOOT_STEP_MS = 10;

/**
 * The time sources of an instance that can be suspended, for tests and the measuring rig;
 * the world around it goes on by the clock that it is made from.
 */
export class VirtualMachine implements TimeSources {
  /** Error of its time of day. */
  wallErrorMs = 0;
  /** False where the boot clock cannot be read. */
  hasBootClock = true;
  /** How fast the boot clock runs; 1 where it is the instance's own. */
  bootRate = 1;
  private suspendedMs = 0;
  private suspendedAtMs: number | undefined;
  private held: Array<() => void> = [];

  constructor(private readonly world: Clock) {}

  get isSuspended(): boolean {
    return this.suspendedAtMs !== undefined;
  }

  steadyMs(): number {
    const nowMs = this.suspendedAtMs ?? this.world.nowMs();
    return nowMs - this.suspendedMs;
  }

  wallMs(): number {
    return this.world.wallMs() + this.wallErrorMs;
  }

  bootMs(): number | undefined {
    if (!this.hasBootClock) return undefined;
    const bootMs = this.world.nowMs() * this.bootRate;
    return Math.floor(bootMs / BOOT_STEP_MS) * BOOT_STEP_MS;
  }

  after(delayMs: number, task: () => void): CancelTimer {
    const dueMs = this.steadyMs() + delayMs;
    let cancel: CancelTimer = () => {};
    let isCancelled = false;
    const run = (): void => {
      if (isCancelled) return;
      const leftMs = dueMs - this.steadyMs();
      if (this.isSuspended) this.held.push(run);
      else if (leftMs > LEAST_LEFT_MS) cancel = this.world.after(leftMs, run);
      else task();
    };
    cancel = this.world.after(delayMs, run);
    return () => {
      isCancelled = true;
      cancel();
    };
  }

  suspend(): void {
    this.suspendedAtMs ??= this.world.nowMs();
  }

  /** Goes on; what waited for it goes on too, in the order in which it came. */
  wake(): void {
    if (this.suspendedAtMs === undefined) return;
    this.suspendedMs += this.world.nowMs() - this.suspendedAtMs;
    this.suspendedAtMs = undefined;
    const {held} = this;
    this.held = [];
    for (const run of held) run();
  }

  /** Resolves at once, or when the instance is awake again: bytes wait on its sockets. */
  awake(): Promise<void> {
    if (!this.isSuspended) return Promise.resolve();
    return new Promise((resolve) => this.held.push(resolve));
  }
}
