import {Disturbances} from './disturbances.js';
import {SETTLE_MS} from './leaveLedger.js';

/** The requirements let an endpoint work this long after its caller has disconnected. */
const MAX_WORK_AFTER_LEAVE_MS = 500;

/** The requirements tolerate "a few" requests that start later than that. */
const MAX_LATE_ARRIVALS = 3;

/** The requirements let this share of the work go on for longer. */
const MAX_CONTINUED_SHARE = 0.25;

interface Work {
  readonly beganAtMs: number;
  endedAtMs: number;
  /** True when it was completed, not cancelled. */
  isDone: boolean;
}

/** Checks the work that endpoints do for callers that have disconnected. */
export class DisconnectLedger {
  private readonly leftAtMs = new Map<string, number>();
  private readonly work = new Map<string, Work[]>();
  private readonly disturbed = new Disturbances();

  noteDisturbed(fromMs: number, untilMs: number): void {
    this.disturbed.note(fromMs, untilMs + SETTLE_MS);
  }

  /** A caller has closed its connection before its answer was complete. */
  noteLeft(requestId: string, atMs: number): void {
    this.leftAtMs.set(requestId, atMs);
  }

  /** An endpoint begins to work on a request. */
  noteWorkBegun(requestId: string, beganAtMs: number): void {
    const known = this.work.get(requestId) ?? [];
    known.push({beganAtMs, endedAtMs: Infinity, isDone: false});
    this.work.set(requestId, known);
  }

  /** The oldest unfinished work on a request ends. */
  noteWorkEnded(requestId: string, atMs: number, isDone: boolean): void {
    const open = this.work
      .get(requestId)
      ?.find(({endedAtMs}) => endedAtMs === Infinity);
    if (open === undefined) return;
    open.endedAtMs = atMs;
    open.isDone = isDone;
  }

  /** How often an endpoint was at work for a caller that had left, outside disturbances. */
  get judgedCount(): number {
    return this.judged().length;
  }

  violations(): string[] {
    const judgedWork = this.judged();
    const late = judgedWork.filter(
      ({beganAfterMs}) => beganAfterMs > MAX_WORK_AFTER_LEAVE_MS,
    );
    const continued = judgedWork.filter(
      ({endedAfterMs}) => endedAfterMs > MAX_WORK_AFTER_LEAVE_MS,
    );
    const found: string[] = [];
    if (late.length > MAX_LATE_ARRIVALS) {
      found.push(`${late.length} requests ran later than their callers left`);
    }
    if (continued.length > judgedWork.length * MAX_CONTINUED_SHARE) {
      found.push(
        `${continued.length} of ${judgedWork.length} requests were worked on after their callers had left`,
      );
    }
    return found;
  }

  /**
   * The work that went on when its caller left, or began later. Leaves out work that was completed
   * within the bound: it shows nothing about cancellation.
   */
  private judged(): Array<{beganAfterMs: number; endedAfterMs: number}> {
    return [...this.leftAtMs].flatMap(([requestId, leftAtMs]) => {
      const soonMs = leftAtMs + MAX_WORK_AFTER_LEAVE_MS;
      if (this.disturbed.overlaps(leftAtMs, soonMs)) return [];
      return (this.work.get(requestId) ?? [])
        .filter(({endedAtMs}) => endedAtMs > leftAtMs)
        .filter(({endedAtMs, isDone}) => !isDone || endedAtMs > soonMs)
        .map(({beganAtMs, endedAtMs}) => ({
          beganAfterMs: beganAtMs - leftAtMs,
          endedAfterMs: endedAtMs - leftAtMs,
        }));
    });
  }
}
