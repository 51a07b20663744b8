import {assertNever} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';

/** What an entry knows about an endpoint that it may choose. */
export interface Candidate {
  readonly id: string;
  readonly isSameZone: boolean;
  /** Open requests from this entry to the endpoint. */
  readonly outstanding: number;
  /** Expected tokens of the requests that this entry sent since the last report. */
  readonly unreportedTokens: number;
  /** This and the next four fields: from the endpoint's last load report. */
  readonly predictedWaitMs: number;
  readonly tokenMs: number;
  readonly backlogTokens: number;
  readonly maxBatch: number;
  readonly reportAgeMs: number;
  /** Prompt tokens that are probably in the endpoint's prefix cache. */
  readonly cachedTokens: number;
}

export interface RouteRequest {
  readonly promptTokens: number;
  readonly expectedTokens: number;
}

export const RoutingRule = {
  PREDICTED: 'predicted',
  TWO_CHOICES: 'twoChoices',
  LEAST_OUTSTANDING: 'leastOutstanding',
  ROUND_ROBIN: 'roundRobin',
} as const;
export type RoutingRule = (typeof RoutingRule)[keyof typeof RoutingRule];

/** Why an endpoint was chosen, for spans, logs and `explain`. */
export interface RouteChoice {
  readonly id: string;
  readonly rule: RoutingRule;
  /** Predicted completion time in ms, or the number of outstanding requests. */
  readonly score: number;
  /** Number of endpoints that were compared. */
  readonly sampled: number;
}

/** Extra round-trip time to another zone. */
const OTHER_ZONE_MS = 3;

/** Candidates compared, besides the one with most of the prompt cached. */
const SAMPLE_SIZE = 4;

/** Time in which a load report loses half of its weight. */
const REPORT_HALF_LIFE_MS = 4_000;

/** Chooses endpoints for requests; its only state is the round-robin index. */
export class EndpointChooser {
  private nextIndex = 0;

  constructor(private readonly random: Random) {}

  /** `candidates` must not be empty. */
  choose(
    rule: RoutingRule,
    candidates: readonly Candidate[],
    request: RouteRequest,
  ): RouteChoice {
    switch (rule) {
      case RoutingRule.ROUND_ROBIN: {
        const chosen = candidates[this.nextIndex++ % candidates.length]!;
        return {id: chosen.id, rule, score: 0, sampled: 1};
      }
      case RoutingRule.LEAST_OUTSTANDING:
        return chooseLowestScore(
          rule,
          this.drawSample(candidates, candidates.length),
          outstandingOf,
        );
      case RoutingRule.TWO_CHOICES:
        return chooseLowestScore(
          rule,
          this.drawSample(candidates, 2),
          outstandingOf,
        );
      case RoutingRule.PREDICTED: {
        const sample = this.drawSample(candidates, SAMPLE_SIZE);
        const holder = findLargestCacheHit(candidates);
        if (holder !== undefined) sample.push(holder);
        return chooseLowestScore(rule, sample, (item) =>
          predictedCompletionMs(item, request),
        );
      }
      default:
        return assertNever(rule);
    }
  }

  private drawSample(
    candidates: readonly Candidate[],
    count: number,
  ): Candidate[] {
    const pool = [...candidates];
    const taken = Math.min(count, pool.length);
    for (let index = 0; index < taken; index++) {
      const other = index + Math.floor(this.random() * (pool.length - index));
      [pool[index], pool[other]] = [pool[other]!, pool[index]!];
    }
    return pool.slice(0, taken);
  }
}

/**
 * Predicted time until a response from an endpoint is complete. Sums the reported
 * wait and backlog, both discounted by the age of the report, the tokens that this
 * entry has sent since, the prompt tokens that are not cached, the output at the
 * endpoint's time per token and the network round trip. The paper "Cache Hits Can
 * Create Queues" routes by this sum of queueing, prefill and decoding time.
 */
export function predictedCompletionMs(
  item: Candidate,
  request: RouteRequest,
): number {
  const reportWeight = 0.5 ** (item.reportAgeMs / REPORT_HALF_LIFE_MS);
  const uncached = Math.max(0, request.promptTokens - item.cachedTokens);
  const sharedTokenMs = item.tokenMs / item.maxBatch;
  const backlog = item.backlogTokens * reportWeight + item.unreportedTokens;
  return (
    item.predictedWaitMs * reportWeight +
    (backlog + uncached) * sharedTokenMs +
    request.expectedTokens * item.tokenMs +
    (item.isSameZone ? 0 : OTHER_ZONE_MS)
  );
}

function outstandingOf(item: Candidate): number {
  return item.outstanding;
}

function findLargestCacheHit(
  candidates: readonly Candidate[],
): Candidate | undefined {
  let holder: Candidate | undefined;
  for (const item of candidates) {
    if (item.cachedTokens > (holder?.cachedTokens ?? 0)) holder = item;
  }
  return holder;
}

function chooseLowestScore(
  rule: RoutingRule,
  sample: readonly Candidate[],
  scoreOf: (item: Candidate) => number,
): RouteChoice {
  let chosen = sample[0]!;
  let score = scoreOf(chosen);
  for (const item of sample.slice(1)) {
    const other = scoreOf(item);
    if (other >= score) continue;
    chosen = item;
    score = other;
  }
  return {id: chosen.id, rule, score, sampled: sample.length};
}
