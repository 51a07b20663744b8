import {assertNever} from '@lilacledge/shared';

/** Levels of urgency that a doubling of an organisation's use costs. */
const ORGANISATION_WEIGHT = 0.4;

/** A waiting generation as the order of a queue sees it. */
export interface Waiting {
  readonly arrivedMs: number;
  /** 0 (first) to 9 (last); 5 is usual. */
  readonly priority: number;
  /** Prompt and output tokens that it is expected to need in all. */
  readonly expectedTokens: number;
  /** Share of the engine that its organisation uses, over its fair share. */
  readonly organisationUse: number;
}

export type QueueRule =
  | {readonly kind: 'leastAttained'; readonly ageingMs: number}
  | {readonly kind: 'firstInFirstOut'};

/**
 * Urgency of a waiting generation: the lowest goes first. With `leastAttained`
 * a doubling of the expected work, of the organisation's use and a step of
 * priority weigh one level each, and each `ageingMs` of waiting takes a level
 * off: what is `n` levels behind passes all newcomers after `n * ageingMs`.
 */
export function urgency(rule: QueueRule, item: Waiting, nowMs: number): number {
  switch (rule.kind) {
    case 'firstInFirstOut':
      return item.arrivedMs;
    case 'leastAttained':
      return (
        Math.log2(1 + item.expectedTokens) +
        ORGANISATION_WEIGHT * Math.log2(1 + item.organisationUse) +
        (item.priority - 5) -
        (nowMs - item.arrivedMs) / rule.ageingMs
      );
    default:
      return assertNever(rule);
  }
}
