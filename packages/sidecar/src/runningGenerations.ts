import type {MemoryClaim} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';
import type {Generation} from './generation.js';
import {RateEstimate} from './rateEstimate.js';
import {toClaim} from './scheduledGeneration.js';
import type {ScheduledGeneration} from './scheduledGeneration.js';

/**
 * A running generation counts as preempted by the engine when it has produced
 * no token for this many mean token times, and at least for the minimum gap.
 */
const PREEMPTION_GAP_TOKEN_TIMES = 12;
const MIN_PREEMPTION_GAP_MS = 300;

/** The generations at the engine: the memory they claim and the pace of their tokens. */
export class RunningGenerations {
  private readonly generations = new Map<Generation, ScheduledGeneration>();
  private readonly tokenTime = new RateEstimate(256);

  constructor(private readonly clock: Clock) {}

  get size(): number {
    return this.generations.size;
  }

  get items(): Iterable<ScheduledGeneration> {
    return this.generations.values();
  }

  /** Mean time per token; 0 until it is known. */
  get tokenMs(): number {
    return this.tokenTime.mean ?? 0;
  }

  add(item: ScheduledGeneration): void {
    this.generations.set(item.generation, item);
  }

  delete(generation: Generation): void {
    this.generations.delete(generation);
  }

  get(generation: Generation): ScheduledGeneration | undefined {
    return this.generations.get(generation);
  }

  claims(): MemoryClaim[] {
    return [...this.generations.values()].map(toClaim);
  }

  /** Engine memory that the generations hold now. */
  heldTokens(): number {
    return this.claims().reduce((sum, claim) => sum + claim.heldTokens, 0);
  }

  /** Measures the time per token at this engine by the gaps within a stream. */
  recordTokenTime(item: ScheduledGeneration, tokens: number): void {
    const nowMs = this.clock.nowMs();
    if (item.lastAtMs > 0) this.tokenTime.add((nowMs - item.lastAtMs) / tokens);
    item.lastAtMs = nowMs;
  }

  /**
   * True while the engine has preempted a generation that had already produced
   * tokens. To resume, it needs much memory at once; admitting new generations
   * would use that memory up piece by piece.
   */
  hasPreempted(): boolean {
    const gapMs = Math.max(
      MIN_PREEMPTION_GAP_MS,
      PREEMPTION_GAP_TOKEN_TIMES * this.tokenMs,
    );
    const sinceMs = this.clock.nowMs() - gapMs;
    for (const {lastAtMs} of this.generations.values()) {
      if (lastAtMs > 0 && lastAtMs < sinceMs) return true;
    }
    return false;
  }
}
