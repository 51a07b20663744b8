/** Times are counted in parts of this length, so that what is told stays small. */
const PART_MS = 500;

/** What one life of an entry took from the free sends in one part of its time. */
export interface SlackTake {
  /** Names the life of the process. */
  readonly life: string;
  /** Counts the parts of that life. */
  readonly part: number;
  /** Age of the newest send: processes' clocks are not compared. */
  readonly agoMs: number;
  readonly count: number;
}

interface Taken {
  readonly take: Pick<SlackTake, 'life' | 'part'>;
  readonly atMs: number;
  readonly count: number;
}

/**
 * The free sends that an entry took for one service, in all lives of its process. The counts
 * of a part only grow, so that what is told comes out the same in whatever order and however
 * often it comes.
 */
export class SlackUse {
  private readonly taken = new Map<string, Taken>();

  constructor(
    /** How long a send counts. */
    private readonly keptMs: () => number,
  ) {}

  /** Counts one send; returns what has changed. */
  note(life: string, nowMs: number): SlackTake {
    const part = Math.floor(nowMs / PART_MS);
    const count = (this.taken.get(keyOf({life, part}))?.count ?? 0) + 1;
    const take = {life, part, agoMs: 0, count};
    this.merge([take], nowMs);
    return take;
  }

  /** Takes what is known elsewhere; false when nothing of it is new. */
  merge(takes: readonly SlackTake[], nowMs: number): boolean {
    this.forget(nowMs);
    let isNews = false;
    for (const {life, part, agoMs, count} of takes) {
      const key = keyOf({life, part});
      const known = this.taken.get(key);
      if (known !== undefined && known.count >= count) continue;
      this.taken.set(key, {take: {life, part}, atMs: nowMs - agoMs, count});
      isNews = true;
    }
    return isNews;
  }

  /** The sends that count. */
  sum(nowMs: number): number {
    this.forget(nowMs);
    let sum = 0;
    for (const {count} of this.taken.values()) sum += count;
    return sum;
  }

  /** The sends that count, as others are told of them. */
  takes(nowMs: number): SlackTake[] {
    this.forget(nowMs);
    return [...this.taken.values()].map(({take, atMs, count}) => ({
      ...take,
      agoMs: nowMs - atMs,
      count,
    }));
  }

  private forget(nowMs: number): void {
    const oldestMs = nowMs - this.keptMs();
    for (const [key, {atMs}] of this.taken) {
      if (atMs < oldestMs) this.taken.delete(key);
    }
  }
}

function keyOf({life, part}: Pick<SlackTake, 'life' | 'part'>): string {
  return `${life} ${part}`;
}
