import type {Clock} from '@lilacledge/shared';

/** The entries that share the budgets, as this entry sees them. */
export interface FleetView {
  /** Number of entries that serve callers, including this one. */
  entries(): number;
  /** False while the store is unreachable: entries that are missing may still run. */
  isCurrent(): boolean;
}

interface Sample {
  readonly count: number;
  readonly atMs: number;
}

/**
 * The highest number of entries seen within a time window. Registrations expire in an outage
 * of the store, and each entry then sees only itself; so the count does not fall while the
 * store is unreachable.
 */
export class PeakEntryCount {
  /** Counts not exceeded by a later one, oldest and highest first. */
  private samples: Sample[] = [];

  constructor(
    private readonly fleet: FleetView,
    private readonly windowMs: () => number,
    private readonly clock: Pick<Clock, 'nowMs'>,
  ) {}

  /** Records the current count; to be called at each change. */
  refresh(): void {
    this.note(this.fleet.entries());
  }

  /** Records a count, such as one that another entry reports. */
  note(count: number): void {
    const atMs = this.clock.nowMs();
    const [highest] = this.samples;
    const isFrozen = !this.fleet.isCurrent() && highest !== undefined;
    const effective = isFrozen ? Math.max(highest.count, count) : count;
    this.samples = this.samples.filter((sample) => sample.count > effective);
    this.samples.push({count: effective, atMs});
  }

  get peak(): number {
    this.refresh();
    const oldestMs = this.clock.nowMs() - this.windowMs();
    this.samples = this.samples.filter(({atMs}) => atMs >= oldestMs);
    return Math.max(1, ...this.samples.map(({count}) => count));
  }
}
