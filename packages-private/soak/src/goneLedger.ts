import {Disturbances} from './disturbances.js';
import {SETTLE_MS} from './leaveLedger.js';

/** Endpoints may work on for this long after a caller has left (stated). */
const WORK_ON_MS = 500;

/** Requests that reach an endpoint later than that and are borne: "a few" (stated). */
const MOST_LATE_ARRIVALS = 3;

/** Part of the work that may go on for longer (stated). */
const MOST_ON_SHARE = 0.25;

interface Work {
  readonly beganAtMs: number;
  endedAtMs: number;
  /** True when it was done, and not broken off. */
  isDone: boolean;
}

/** What endpoints do for callers that have left. */
export class GoneLedger {
  private readonly leftAtMs = new Map<string, number>();
  private readonly work = new Map<string, Work[]>();
  private readonly disturbed = new Disturbances();

  noteDisturbed(fromMs: number, untilMs: number): void {
    this.disturbed.note(fromMs, untilMs + SETTLE_MS);
  }

  /** A caller has closed its connection before its answer was whole. */
  noteLeft(requestId: string, atMs: number): void {
    this.leftAtMs.set(requestId, atMs);
  }

  /** An endpoint begins to work on a request. */
  noteBegun(requestId: string, beganAtMs: number): void {
    const known = this.work.get(requestId) ?? [];
    known.push({beganAtMs, endedAtMs: Infinity, isDone: false});
    this.work.set(requestId, known);
  }

  /** The oldest open work on a request ends. */
  noteEnded(requestId: string, atMs: number, isDone: boolean): void {
    const open = this.work
      .get(requestId)
      ?.find(({endedAtMs}) => endedAtMs === Infinity);
    if (open === undefined) return;
    open.endedAtMs = atMs;
    open.isDone = isDone;
  }

  /** Callers that left while an endpoint was at work, apart from disturbances. */
  get judgedCount(): number {
    return this.judged().length;
  }

  violations(): string[] {
    const judged = this.judged();
    const late = judged.filter(({beganAfterMs}) => beganAfterMs > WORK_ON_MS);
    const on = judged.filter(({endedAfterMs}) => endedAfterMs > WORK_ON_MS);
    const broken: string[] = [];
    if (late.length > MOST_LATE_ARRIVALS) {
      broken.push(`${late.length} requests ran later than their callers left`);
    }
    if (on.length > judged.length * MOST_ON_SHARE) {
      broken.push(
        `${on.length} of ${judged.length} requests were worked on after their callers had left`,
      );
    }
    return broken;
  }

  /** Work that ended by itself soon after its caller left would not have lasted so long. */
  private judged(): Array<{beganAfterMs: number; endedAfterMs: number}> {
    return [...this.leftAtMs].flatMap(([requestId, leftAtMs]) => {
      const soonMs = leftAtMs + WORK_ON_MS;
      if (this.disturbed.meets(leftAtMs, soonMs)) return [];
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
