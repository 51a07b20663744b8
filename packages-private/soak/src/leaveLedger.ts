import type {RecordedRun} from '@lilacledge/platform-standins';
import {Disturbances} from './disturbances.js';

/** Longest time in which a leaving endpoint may still get work (stated). */
export const DRAIN_MS = 2_000;

/** From the end of a disturbance until bounds hold again (stated). */
export const SETTLE_MS = 3_000;

/** A request may wait that long for the processor of a busy machine. */
const SCHEDULING_MS = 250;

/** A leave of an endpoint, and its return under the same id, if it came. */
interface Leave {
  readonly leftAtMs: number;
  backAtMs: number;
}

/**
 * What may get no new work from when on, endpoints or zones by name, and which work
 * reached it too late.
 */
export class LeaveLedger {
  private readonly leaves = new Map<string, Leave[]>();
  private readonly disturbed = new Disturbances();

  constructor(private readonly boundMs = DRAIN_MS) {}

  /** The store took note of a leave; only the first word of it counts. */
  noteLeft(endpointId: string, atMs: number): void {
    const known = this.leaves.get(endpointId) ?? [];
    this.leaves.set(endpointId, known);
    if (known.some(({backAtMs}) => backAtMs === Infinity)) return;
    known.push({leftAtMs: atMs, backAtMs: Infinity});
  }

  /** It has started again under its id and may get work. */
  noteBack(endpointId: string, atMs: number): void {
    const last = this.leaves.get(endpointId)?.at(-1);
    if (last !== undefined) last.backAtMs = Math.min(last.backAtMs, atMs);
  }

  /** Entries may not hear of leaves in this time, and for a while after it. */
  noteDisturbed(fromMs: number, untilMs: number): void {
    this.disturbed.note(fromMs, untilMs + SETTLE_MS);
  }

  /** How long after the leave of `name` a run began, if that is too late. */
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
    if (afterMs <= this.boundMs + SCHEDULING_MS) return undefined;
    const isExcused = this.disturbed.meets(leftAtMs, atMs);
    return isExcused ? undefined : Math.round(afterMs);
  }
}
