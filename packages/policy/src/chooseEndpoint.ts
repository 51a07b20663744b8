import {assertNever} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';

/** What an entry knows of one endpoint when it chooses. */
export interface Candidate {
  readonly id: string;
  readonly isSameZone: boolean;
  /** Requests that this entry has open there. */
  readonly outstanding: number;
  /** Expected tokens that this entry sent there since the last report. */
  readonly unreportedTokens: number;
  /** From the endpoint's last report. */
  readonly predictedWaitMs: number;
  readonly tokenMs: number;
  readonly backlogTokens: number;
  readonly maxBatch: number;
  readonly reportAgeMs: number;
  /** Prompt tokens that this entry believes to be cached there. */
  readonly cachedTokens: number;
}

export interface RouteRequest {
  readonly promptTokens: number;
  readonly expectedTokens: number;
}

export const RouteKind = {
  PREDICTED: 'predicted',
  TWO_CHOICES: 'twoChoices',
  LEAST_OUTSTANDING: 'leastOutstanding',
  ROUND_ROBIN: 'roundRobin',
} as const;
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind];

/** Why an endpoint was chosen, for spans, logs and `explain`. */
export interface RouteChoice {
  readonly id: string;
  readonly rule: RouteKind;
  /** Predicted time to the first token, or outstanding requests. */
  readonly score: number;
  readonly sampled: number;
}

/** Extra time of a hop to another zone, there and back. */
const OTHER_ZONE_MS = 3;

/** Candidates looked at, besides the one with most of the prompt cached. */
const SAMPLE_SIZE = 4;

/** A report loses half of its weight in this time. */
const REPORT_HALF_LIFE_MS = 4_000;

/** A chooser of endpoints; keeps only what round robin needs. */
export class EndpointChooser {
  private turn = 0;

  constructor(private readonly random: Random) {}

  /** Chooses among at least one candidate. */
  choose(
    rule: RouteKind,
    candidates: readonly Candidate[],
    request: RouteRequest,
  ): RouteChoice {
    switch (rule) {
      case RouteKind.ROUND_ROBIN: {
        const chosen = candidates[this.turn++ % candidates.length]!;
        return {id: chosen.id, rule, score: 0, sampled: 1};
      }
      case RouteKind.LEAST_OUTSTANDING:
        return best(rule, this.shuffled(candidates, candidates.length), byOpen);
      case RouteKind.TWO_CHOICES:
        return best(rule, this.shuffled(candidates, 2), byOpen);
      case RouteKind.PREDICTED: {
        const sample = this.shuffled(candidates, SAMPLE_SIZE);
        const holder = cacheHolder(candidates);
        if (holder !== undefined) sample.push(holder);
        return best(rule, sample, (item) => predictedMs(item, request));
      }
      default:
        return assertNever(rule);
    }
  }

  private shuffled(
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
 * Predicted time to the answer's end at an endpoint: the reported wait and the
 * time to work the backlog off, both fading with the age of the report; what
 * this entry sent since; the prompt tokens that are not cached; the output at
 * the endpoint's own pace; and the way there. The sum of prefill, queue and
 * pace is the completion time that "Cache Hits Can Create Queues" routes by.
 */
export function predictedMs(item: Candidate, request: RouteRequest): number {
  const trust = 0.5 ** (item.reportAgeMs / REPORT_HALF_LIFE_MS);
  const uncached = Math.max(0, request.promptTokens - item.cachedTokens);
  const sharedTokenMs = item.tokenMs / item.maxBatch;
  const backlog = item.backlogTokens * trust + item.unreportedTokens;
  return (
    item.predictedWaitMs * trust +
    (backlog + uncached) * sharedTokenMs +
    request.expectedTokens * item.tokenMs +
    (item.isSameZone ? 0 : OTHER_ZONE_MS)
  );
}

function byOpen(item: Candidate): number {
  return item.outstanding;
}

function cacheHolder(candidates: readonly Candidate[]): Candidate | undefined {
  let holder: Candidate | undefined;
  for (const item of candidates) {
    if (item.cachedTokens > (holder?.cachedTokens ?? 0)) holder = item;
  }
  return holder;
}

function best(
  rule: RouteKind,
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
