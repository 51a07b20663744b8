import type {Clock} from '@lilacledge/shared';

export interface OrganisationLimit {
  readonly concurrent: number;
  readonly tokensPerMinute: number;
}

export type LimitDecision =
  | {readonly outcome: 'granted'}
  | {
      readonly outcome: 'refused';
      readonly reason: 'concurrent' | 'tokens';
      readonly retryAfterMs: number;
    };

interface Usage {
  running: number;
  tokens: number;
  refilledAtMs: number;
}

const MINUTE_MS = 60_000;
const CONCURRENT_RETRY_MS = 1_000;

/**
 * Enforces one entry's share of each organisation's limits: the limit divided by the
 * number of entries. docs/design/limits.md states the largest possible overshoot.
 */
export class OrganisationLimiter {
  private readonly usage = new Map<string, Usage>();
  private entries = 1;

  constructor(private readonly clock: Clock) {}

  setEntryCount(entries: number): void {
    this.entries = Math.max(1, entries);
  }

  /** Counts a request as running if the limits allow it; end it with `release`. */
  take(organisationId: string, limit: OrganisationLimit): LimitDecision {
    const usage = this.usageOf(organisationId, limit);
    const maxRunning = Math.ceil(limit.concurrent / this.entries);
    if (usage.running >= maxRunning) {
      return {
        outcome: 'refused',
        reason: 'concurrent',
        retryAfterMs: CONCURRENT_RETRY_MS,
      };
    }
    if (usage.tokens <= 0) {
      const tokensPerMs = this.tokenShare(limit) / MINUTE_MS;
      const retryAfterMs = Math.ceil((1 - usage.tokens) / tokensPerMs);
      return {outcome: 'refused', reason: 'tokens', retryAfterMs};
    }
    usage.running++;
    return {outcome: 'granted'};
  }

  /** Ends a granted request and charges the tokens that it used to the limit. */
  release(organisationId: string, tokens: number): void {
    const usage = this.usage.get(organisationId);
    if (usage === undefined) return;
    usage.running--;
    usage.tokens -= tokens;
  }

  private usageOf(organisationId: string, limit: OrganisationLimit): Usage {
    const nowMs = this.clock.nowMs();
    const share = this.tokenShare(limit);
    const usage = this.usage.get(organisationId) ?? {
      running: 0,
      tokens: share,
      refilledAtMs: nowMs,
    };
    const refilledTokens = ((nowMs - usage.refilledAtMs) * share) / MINUTE_MS;
    usage.tokens = Math.min(share, usage.tokens + refilledTokens);
    usage.refilledAtMs = nowMs;
    this.usage.set(organisationId, usage);
    return usage;
  }

  private tokenShare(limit: OrganisationLimit): number {
    return limit.tokensPerMinute / this.entries;
  }
}
