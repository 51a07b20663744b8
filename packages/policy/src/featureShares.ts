import type {Clock} from '@lilacledge/shared';

/** Requests of this time count in the shares, the older the less. */
const MEMORY_MS = 30_000;

/** Share that is assumed before requests are counted, and how many requests it counts for. */
export const PRIOR_SHARE = 0.1;
const PRIOR_REQUESTS = 5;

/** Features whose requests are counted. */
const MAX_FEATURES = 10_000;

/** A count that decays over `MEMORY_MS`. */
interface DecayingCount {
  count: number;
  atMs: number;
}

interface CountedFeature extends DecayingCount {
  readonly service: string;
}

/** Estimates which share of the current requests to a service has a feature. */
export class FeatureShares {
  private readonly totals = new Map<string, DecayingCount>();
  /** By feature, the most recently counted last. */
  private readonly features = new Map<string, CountedFeature>();

  constructor(private readonly clock: Pick<Clock, 'nowMs'>) {}

  noteRequest(service: string, features: readonly string[]): void {
    const total = this.totals.get(service) ?? {count: 0, atMs: 0};
    this.increment(total);
    this.totals.set(service, total);
    for (const feature of features) {
      const counted = this.features.get(feature) ?? {
        service,
        count: 0,
        atMs: 0,
      };
      this.increment(counted);
      this.features.delete(feature);
      this.features.set(feature, counted);
    }
    while (this.features.size > MAX_FEATURES) {
      const [oldest] = this.features.keys();
      this.features.delete(oldest!);
    }
  }

  /** From 0 to 1. */
  shareOf(feature: string): number {
    const counted = this.features.get(feature);
    if (counted === undefined) return PRIOR_SHARE;
    const count = this.currentOf(counted) + PRIOR_SHARE * PRIOR_REQUESTS;
    const total = this.currentOf(this.totals.get(counted.service)!);
    return count / (total + PRIOR_REQUESTS);
  }

  private increment(counted: DecayingCount): void {
    counted.count = this.currentOf(counted) + 1;
    counted.atMs = this.clock.nowMs();
  }

  private currentOf({count, atMs}: DecayingCount): number {
    return count * Math.exp((atMs - this.clock.nowMs()) / MEMORY_MS);
  }
}
