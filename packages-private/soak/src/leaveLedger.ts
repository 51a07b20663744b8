import type {RecordedRun} from '@lilacledge/platform-standins';
import {Disturbances} from './disturbances.js';

/** The requirements let a leaving endpoint get new work for this long. */
export const DRAIN_MS = 2_000;

/** Time from the end of a disturbance until the bounds hold again. */
export const SETTLE_MS = 3_000;

/** Allows for processes that wait for the CPU of a busy machine. */
const CPU_WAIT_MS = 250;

/** A leave of an endpoint or zone, and its return; infinite until it returns. */
interface Leave {
  readonly leftAtMs: number;
  backAtMs: number;
}

/** Checks that leaving endpoints or evacuated zones, by name, get no new work after a bound. */
export class LeaveLedger {
  private readonly leaves = new Map<string, Leave[]>();
  private readonly disturbed = new Disturbances();
  private readonly resetsMs: number[] = [];

  constructor(private readonly boundMs = DRAIN_MS) {}

  /** The store has recorded a leave; later notices of the same leave are ignored. */
  noteLeft(endpointId: string, atMs: number): void {
    const known = this.leaves.get(endpointId) ?? [];
    this.leaves.set(endpointId, known);
    if (known.some(({backAtMs}) => backAtMs === Infinity)) return;
    known.push({leftAtMs: atMs, backAtMs: Infinity});
  }

  /** It has started again under the same name and may get work. */
  noteBack(endpointId: string, atMs: number): void {
    const last = this.leaves.get(endpointId)?.at(-1);
    if (last !== undefined) last.backAtMs = Math.min(last.backAtMs, atMs);
  }

  /** Entries may miss leaves in this time and for `SETTLE_MS` after it. */
  noteDisturbed(fromMs: number, untilMs: number): void {
    this.disturbed.note(fromMs, untilMs + SETTLE_MS);
  }

  /** Connections of entries were reset; the bounds hold again `SETTLE_MS` later. */
  noteReset(atMs: number): void {
    this.resetsMs.push(atMs);
  }

  /** How long after the leave of `name` a run began; undefined unless that was too late. */
  latenessMs(
    name: string,
    {atMs}: Pick<RecordedRun, 'atMs'>,
  ): number | undefined {
    const leave = this.leaves
      .get(name)
      ?.find((one) => one.leftAtMs <= atMs && atMs < one.backAtMs);
    if (leave === undefined) return undefined;
    const {leftAtMs} = leave;
    const afterMs = atMs - leftAtMs;
    if (afterMs <= this.boundMs + CPU_WAIT_MS) return undefined;
    const settlesMs = SETTLE_MS + CPU_WAIT_MS;
    const isExcused =
      this.disturbed.overlaps(leftAtMs, atMs) ||
      this.resetsMs.some((reset) => reset <= atMs && atMs < reset + settlesMs);
    return isExcused ? undefined : Math.round(afterMs);
  }
}
