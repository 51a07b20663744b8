import type {PolicySettings} from '@lilacledge/config';
import {queueKey} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';
import type {Generation} from './generation.js';
import type {OrganisationUse} from './organisationUse.js';
import {toQueueRule} from './policyRules.js';
import {RateEstimate} from './rateEstimate.js';
import {isShort} from './scheduledGeneration.js';
import type {ScheduledGeneration} from './scheduledGeneration.js';

/** Assumed size of a short request, for the reported wait. */
const SHORT_REQUEST_TOKENS = 128;

/** The generations that wait for the engine: their order and how long they may have to wait. */
export class WaitingQueue {
  private readonly queued: ScheduledGeneration[] = [];
  private readonly admissionRate = new RateEstimate(48);

  constructor(
    private readonly clock: Clock,
    private readonly organisationUse: OrganisationUse,
  ) {}

  get size(): number {
    return this.queued.length;
  }

  /** In order of arrival. */
  get items(): readonly ScheduledGeneration[] {
    return this.queued;
  }

  add(item: ScheduledGeneration): void {
    this.queued.push(item);
  }

  /** Removes a generation; false if it was not queued. */
  remove(generation: Generation): boolean {
    const index = this.queued.findIndex(
      (item) => item.generation === generation,
    );
    if (index < 0) return false;
    this.queued.splice(index, 1);
    return true;
  }

  /** Counts an admission towards the rate that waits are predicted with. */
  noteAdmitted(nowMs: number, expectedTokens: number): void {
    this.admissionRate.addAmount(nowMs, expectedTokens);
  }

  /** The generations in the order in which they are admitted. */
  sorted(policy: PolicySettings): ScheduledGeneration[] {
    const nowMs = this.clock.nowMs();
    const rule = toQueueRule(policy);
    const keyed = this.queued.map((item) => ({
      item,
      key: queueKey(rule, this.toWaiting(item), nowMs),
    }));
    keyed.sort((a, b) => a.key - b.key);
    return keyed.map(({item}) => item);
  }

  /** Expected wait of a new request; zero until the rate of admissions is known. */
  predictedWaitMs(
    policy: PolicySettings,
    expectedTokens: number,
    priority: number,
  ): number {
    const rate = this.admissionRate.perMs;
    if (rate === undefined) return 0;
    const rule = toQueueRule(policy);
    const nowMs = this.clock.nowMs();
    const ownKey = queueKey(
      rule,
      {arrivedMs: nowMs, priority, expectedTokens, organisationUse: 1},
      nowMs,
    );
    let tokensAhead = expectedTokens;
    for (const item of this.queued) {
      if (queueKey(rule, this.toWaiting(item), nowMs) > ownKey) continue;
      tokensAhead += item.expectedTokens;
    }
    return tokensAhead / rate;
  }

  /**
   * Expected wait of a new short request; zero while nothing waits and the
   * engine's batch is not full. It is at least the wait of the oldest queued
   * short request: when nothing was admitted for a while, the past rate is too
   * optimistic.
   */
  shortRequestWaitMs(policy: PolicySettings, isBatchFull: boolean): number {
    const isFull = isBatchFull || this.queued.length > 0;
    if (!isFull) return 0;
    const rateBasedWaitMs = this.predictedWaitMs(
      policy,
      SHORT_REQUEST_TOKENS,
      5,
    );
    const oldestArrivalMs = Math.min(
      ...this.queued.filter(isShort).map((item) => item.generation.arrivedMs),
    );
    return Math.max(rateBasedWaitMs, this.clock.nowMs() - oldestArrivalMs);
  }

  private toWaiting(item: ScheduledGeneration): Parameters<typeof queueKey>[1] {
    const {organisationId, priority} = item.generation.request;
    return {
      arrivedMs: item.generation.arrivedMs,
      priority,
      expectedTokens: item.expectedTokens,
      organisationUse: this.organisationUse.relativeUse(organisationId),
    };
  }
}
