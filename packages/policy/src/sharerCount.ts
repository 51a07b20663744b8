import type {Clock} from '@lilacledge/shared';

/** The entries that share the budgets. */
export interface Sharers {
  /** Entries that serve callers as far as this one sees now, itself too. */
  entries(): number;
  /** Whether the store tells of them: else others may only be out of sight. */
  isCurrent(): boolean;
}

interface Seen {
  readonly count: number;
  readonly atMs: number;
}

/**
 * The most entries that were seen in a window. Registrations lapse in an outage of the store,
 * and each entry then sees itself alone; while the store tells nothing, nobody is taken to be
 * gone.
 */
export class SharerCount {
  /** Counts that no later one exceeds, the oldest and highest first. */
  private seen: Seen[] = [];

  constructor(
    private readonly sharers: Sharers,
    private readonly windowMs: () => number,
    private readonly clock: Pick<Clock, 'nowMs'>,
  ) {}

  /** Takes note of the entries that are seen now; to be called at each change. */
  noteNow(): void {
    this.note(this.sharers.entries());
  }

  /** Another entry sees as many. */
  note(count: number): void {
    const atMs = this.clock.nowMs();
    const [highest] = this.seen;
    const isHeld = !this.sharers.isCurrent() && highest !== undefined;
    const held = isHeld ? Math.max(highest.count, count) : count;
    this.seen = this.seen.filter((one) => one.count > held);
    this.seen.push({count: held, atMs});
  }

  get most(): number {
    this.noteNow();
    const oldestMs = this.clock.nowMs() - this.windowMs();
    this.seen = this.seen.filter(({atMs}) => atMs >= oldestMs);
    return Math.max(1, ...this.seen.map(({count}) => count));
  }
}
