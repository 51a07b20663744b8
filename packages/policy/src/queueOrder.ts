import {assertNever} from '@lilacledge/shared';

/** Levels that a doubling of an organisation's use adds to the key. */
const ORGANISATION_WEIGHT = 0.4;

/** The properties of a waiting generation that decide its position in the queue. */
export interface WaitingGeneration {
  readonly arrivedMs: number;
  /** 0 (first) to 9 (last); 5 is the default. */
  readonly priority: number;
  /** Expected total of prompt and output tokens. */
  readonly expectedTokens: number;
  /** Its organisation's use of the engine, divided by the fair share. */
  readonly organisationUse: number;
}

export type QueueRule =
  | {readonly kind: 'leastAttained'; readonly ageingMs: number}
  | {readonly kind: 'firstInFirstOut'};

/**
 * Sort key of a waiting generation; the lowest goes first. With `leastAttained`, a
 * doubling of the expected tokens and a step of priority each add one level, a doubling
 * of the organisation's use adds `ORGANISATION_WEIGHT` levels, and each `ageingMs` of
 * waiting removes one: a generation `n` levels behind goes before all newcomers after
 * `n * ageingMs`.
 */
export function queueKey(
  rule: QueueRule,
  item: WaitingGeneration,
  nowMs: number,
): number {
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
