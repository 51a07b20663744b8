import type {Clock, Random} from '@lilacledge/shared';
import type {DueCallers, ReturnsDue} from './sharedDemand.js';

/** Returns are counted in buckets of this length, the interval of the reports. */
const BUCKET_MS = 250;

/**
 * Part of the time that a caller has left within which its return must lie, so that one
 * with a single attempt left has most of its time for the answer.
 */
const LATEST_RETURN_SHARE = 1 / 3;

/** Latest return that is planned: the rate at which room becomes free holds no longer. */
const MAX_AHEAD_MS = 10_000;

/** A caller that is refused. */
export interface RefusedCaller {
  /** Time until room is likely to be free for it; no return is earlier. */
  readonly earliestMs: number;
  /** Time until it gives up. */
  readonly timeLeftMs: number;
  /** The retry time around this forecast, where no place is found. */
  readonly forecastMs: number;
}

/** How fast room becomes free for callers like the refused one. */
export interface FreedRoom {
  /** Callers per ms for which the queue of this entry gets room. */
  readonly ownPerMs: number;
  /** Number of entries, which are taken to get room as fast as this one. */
  readonly entries: number;
}

/**
 * The times at which the callers refused by one entry return. The returns that all entries
 * give fill the room that becomes free: with forecasts alone, all callers refused in a burst
 * return at nearly the same time and most are refused again.
 *
 * An entry first fills its own part of the room in order, and then draws among the places
 * that others have left: entries which decide between two reports would all take the first.
 */
export class SharedReturns {
  /** Callers due, by number of the bucket. */
  private readonly own = new Map<number, number>();
  /** Spreads the places of entries that have less than one in each bucket. */
  private readonly phase: number;

  constructor(
    private readonly clock: Pick<Clock, 'nowMs'>,
    private readonly random: Random,
  ) {
    this.phase = random();
  }

  /**
   * The retry time for a refused caller: in the first bucket with a place within a third of
   * its remaining time, otherwise by its forecast. To be called for nearer deadlines first.
   */
  assign(
    caller: RefusedCaller,
    room: FreedRoom | undefined,
    elsewhere: readonly DueCallers[],
  ): number {
    const returnMs =
      (room && this.findPlace(caller, room, elsewhere)) ?? caller.forecastMs;
    // Later returns are never planned for, and a caller that has given up does not return.
    const latestMs = Math.min(MAX_AHEAD_MS, caller.timeLeftMs);
    if (returnMs <= latestMs) this.note(returnMs);
    return returnMs;
  }

  /** Number of callers due. */
  get callers(): number {
    this.evict();
    return sumOf(this.own.values());
  }

  /** The callers due, as reported to other entries. */
  get due(): ReturnsDue[] {
    this.evict();
    const nowMs = this.clock.nowMs();
    return [...this.own].map(([bucket, callers]) => {
      const middleMs = (bucket + 0.5) * BUCKET_MS;
      return [Math.max(1, Math.round(middleMs - nowMs)), callers];
    });
  }

  private note(returnMs: number): void {
    this.evict();
    const bucket = bucketOf(this.clock.nowMs() + returnMs);
    this.own.set(bucket, this.ownIn(bucket) + 1);
  }

  private findPlace(
    caller: RefusedCaller,
    {ownPerMs, entries}: FreedRoom,
    elsewhere: readonly DueCallers[],
  ): number | undefined {
    const nowMs = this.clock.nowMs();
    const fromMs = nowMs + caller.earliestMs;
    const latestReturnMs = caller.timeLeftMs * LATEST_RETURN_SHARE;
    const untilMs = nowMs + Math.min(MAX_AHEAD_MS, latestReturnMs);
    if (untilMs < fromMs) return undefined;
    const all = this.countWith(elsewhere);
    const perBucket = ownPerMs * BUCKET_MS;
    const open = bucketsBetween(fromMs, untilMs).filter(
      (bucket) =>
        (all.get(bucket) ?? 0) < this.placesIn(bucket, perBucket * entries),
    );
    const found =
      open.find(
        (bucket) => this.ownIn(bucket) < this.placesIn(bucket, perBucket),
      ) ?? open[Math.floor(this.random() * open.length)];
    if (found === undefined) return undefined;
    const earliestMs = Math.max(fromMs, found * BUCKET_MS);
    const latestMs = Math.min(untilMs, (found + 1) * BUCKET_MS);
    const atMs = earliestMs + this.random() * (latestMs - earliestMs);
    return Math.floor(atMs - nowMs);
  }

  /** Whole places in a bucket; over many buckets they add up to `perBucket` for each. */
  private placesIn(bucket: number, perBucket: number): number {
    const placesBefore = (end: number): number =>
      Math.floor(end * perBucket + this.phase);
    return placesBefore(bucket + 1) - placesBefore(bucket);
  }

  private countWith(elsewhere: readonly DueCallers[]): Map<number, number> {
    const counts = new Map(this.own);
    for (const {dueAtMs, callers} of elsewhere) {
      const bucket = bucketOf(dueAtMs);
      counts.set(bucket, (counts.get(bucket) ?? 0) + callers);
    }
    return counts;
  }

  private ownIn(bucket: number): number {
    return this.own.get(bucket) ?? 0;
  }

  private evict(): void {
    const current = bucketOf(this.clock.nowMs());
    for (const bucket of this.own.keys()) {
      if (bucket < current) this.own.delete(bucket);
    }
  }
}

function bucketOf(atMs: number): number {
  return Math.floor(atMs / BUCKET_MS);
}

function bucketsBetween(fromMs: number, untilMs: number): number[] {
  const first = bucketOf(fromMs);
  const count = bucketOf(untilMs) - first + 1;
  return Array.from({length: count}, (_, index) => first + index);
}

function sumOf(counts: Iterable<number>): number {
  let sum = 0;
  for (const count of counts) sum += count;
  return sum;
}
