import type {CancelTimer, Clock} from '@lilacledge/shared';

/**
 * The clock of one process on a rig. While the process is paused its timers
 * are kept back; they fire when it goes on, as after SIGSTOP and SIGCONT.
 */
export class PausableClock implements Clock {
  private isPaused = false;
  private isDead = false;
  private held: Array<() => void> = [];

  constructor(
    private readonly base: Clock,
    /** Error of this machine's wall clock. */
    public wallOffsetMs = 0,
  ) {}

  nowMs(): number {
    return this.base.nowMs();
  }

  wallMs(): number {
    return this.base.wallMs() + this.wallOffsetMs;
  }

  after(delayMs: number, task: () => void): CancelTimer {
    let isCancelled = false;
    const run = (): void => {
      if (isCancelled || this.isDead) return;
      if (this.isPaused) this.held.push(run);
      else task();
    };
    const cancel = this.base.after(delayMs, run);
    return () => {
      isCancelled = true;
      cancel();
    };
  }

  pause(): void {
    this.isPaused = true;
  }

  resume(): void {
    this.isPaused = false;
    const held = this.held;
    this.held = [];
    for (const run of held) run();
  }

  /** No timer of this process fires any more. */
  kill(): void {
    this.isDead = true;
    this.held = [];
  }
}
