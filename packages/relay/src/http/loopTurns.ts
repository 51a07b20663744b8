import type {Clock} from '@lilacledge/shared';

/** Time after which the event loop is asked again for room. */
const TURN_CHECK_MS = 1;

/**
 * Runs one task at most in each iteration of the event loop, which takes one new connection in
 * each: work that gives way doesn't keep new callers from being heard.
 */
export class LoopTurns {
  private readonly tasks: Array<() => void> = [];

  /**
   * @param mayRun whether the event loop has room for the next task now; asked again until it has.
   * @param isAllDue whether all tasks are to run at once.
   */
  constructor(
    private readonly clock: Clock,
    private readonly mayRun: () => boolean,
    private readonly isAllDue: () => boolean = () => false,
  ) {}

  add(task: () => void): void {
    this.tasks.push(task);
    if (this.tasks.length === 1) setImmediate(this.runNext);
  }

  private readonly runNext = (): void => {
    if (this.isAllDue()) {
      for (const task of this.tasks.splice(0)) task();
      return;
    }
    if (!this.mayRun()) {
      // The loop waits for events until then, which shows whether it has room.
      this.clock.after(TURN_CHECK_MS, this.runNext);
      return;
    }
    const [task] = this.tasks.splice(0, 1);
    if (this.tasks.length > 0) setImmediate(this.runNext);
    task?.();
  };
}
