import {createRandom, sleep, systemClock} from '@lilacledge/shared';

/** An endpoint whose answers report its pace. */
export interface PacedEndpoint {
  pacePercent: number | undefined;
}

const USUAL_PERCENT = 100;

/** Each endpoint is slower for short intervals, of its own. */
const SHORT = {percent: 250, forMs: 600, meanGapMs: 2_500} as const;

/** Now and then a sixth of the endpoints is slower for longer. */
const LONG = {percent: 350, forMs: 4_000, meanGapMs: 8_000, share: 1 / 6};

/** Gives the paces a seed of their own, so that a seed's faults stay the same. */
const SEED_OFFSET = 5_000_011;

/** Changes the pace of endpoints until it is stopped. */
export class PaceChanges {
  private readonly stopped = new AbortController();
  private readonly random;

  constructor(
    private readonly endpoints: readonly PacedEndpoint[],
    seed: number,
  ) {
    this.random = createRandom(seed + SEED_OFFSET);
  }

  start(): void {
    for (const endpoint of this.endpoints) {
      endpoint.pacePercent = USUAL_PERCENT;
      void this.slowDown([endpoint], SHORT);
    }
    void this.slowDownSome();
  }

  /** Ends all changes; endpoints work at their usual pace. */
  stop(): void {
    this.stopped.abort();
    for (const endpoint of this.endpoints) endpoint.pacePercent = USUAL_PERCENT;
  }

  private async slowDownSome(): Promise<void> {
    const {signal} = this.stopped;
    while (!signal.aborted) {
      await sleep(systemClock, this.drawGapMs(LONG.meanGapMs), signal);
      const slow = this.endpoints.filter(() => this.random() < LONG.share);
      await this.applyTo(slow, LONG);
    }
  }

  private async slowDown(
    endpoints: readonly PacedEndpoint[],
    slowness: typeof SHORT,
  ): Promise<void> {
    const {signal} = this.stopped;
    while (!signal.aborted) {
      await sleep(systemClock, this.drawGapMs(slowness.meanGapMs), signal);
      await this.applyTo(endpoints, slowness);
    }
  }

  private async applyTo(
    endpoints: readonly PacedEndpoint[],
    {percent, forMs}: {readonly percent: number; readonly forMs: number},
  ): Promise<void> {
    const {signal} = this.stopped;
    if (signal.aborted) return;
    for (const endpoint of endpoints) endpoint.pacePercent = percent;
    await sleep(systemClock, forMs, signal);
    for (const endpoint of endpoints) endpoint.pacePercent = USUAL_PERCENT;
  }

  private drawGapMs(meanMs: number): number {
    return -Math.log(1 - this.random()) * meanMs;
  }
}
