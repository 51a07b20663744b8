import type {CancelTimer, Clock} from '@lilacledge/shared';

/**
 * The clock of one process on a rig. Timers that expire while the process is
 * paused fire when it resumes, as after SIGSTOP and SIGCONT.
 */
export class PausableClock implements Clock {
  private isPaused = false;
  private isKilled = false;
  private deferred: Array<() => void> = [];

  constructor(
    private readonly base: Clock,
    /** Offset of this instance's wall clock from the true time. */
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
      if (isCancelled || this.isKilled) return;
      if (this.isPaused) this.deferred.push(run);
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
    const deferred = this.deferred;
    this.deferred = [];
    for (const run of deferred) run();
  }

  /** Discards all timers of this process, also those set later. */
  kill(): void {
    this.isKilled = true;
    this.deferred = [];
  }
}
