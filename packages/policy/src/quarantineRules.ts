import {Closeness} from './crashReports.js';
import type {RecordedCrash} from './crashReports.js';

/** Evidence of a crash against a whole request, if no other was closer. */
export const REQUEST_WEIGHTS: Readonly<Record<Closeness, number>> = {
  [Closeness.WAITING]: 2,
  [Closeness.STREAMING]: 2,
  [Closeness.BEGUN]: 3,
};

/** Evidence of a crash against a part of prompts; requests that were as close share it. */
export const PART_WEIGHTS: Readonly<Record<Closeness, number>> = {
  [Closeness.WAITING]: 2,
  [Closeness.STREAMING]: 3,
  [Closeness.BEGUN]: 3,
};

/** A feature of more requests than this is likely to be present at any crash. */
const COMMON_SHARE = 0.2;

/** Smallest factor, for a feature of all requests: seven crashes in a row are enough. */
const MIN_SHARE_FACTOR = 3 / 7;

/** Evidence for a quarantine, and the fewest crashes that reach it. */
export interface QuarantineRule {
  readonly weight: number;
  readonly crashes: number;
}

/** For a request that comes again: two crashes, or three while it may have waited. */
export const REQUEST_RULE: QuarantineRule = {weight: 6, crashes: 2};

/** For parts of prompts: other callers are refused too, so one crash more is required. */
export const PARTS_RULE: QuarantineRule = {weight: 9, crashes: 3};

/** Parts that a crash may be compared by without raising the evidence that is needed. */
export const MAX_RECORDED_PARTS = 16;

/**
 * The rule for parts of prompts that have this many other parts, each of which could as well have
 * been in all of them by chance: one that is no cause is in the prompt of one more crash with the
 * odds of `COMMON_SHARE`, which one more crash of full weight outweighs.
 */
export function partsRuleAmong(otherParts: number): QuarantineRule {
  if (otherParts <= MAX_RECORDED_PARTS) return PARTS_RULE;
  const odds = MAX_RECORDED_PARTS / otherParts;
  const moreCrashes = Math.log(odds) / Math.log(COMMON_SHARE);
  const moreWeight = moreCrashes * PART_WEIGHTS[Closeness.BEGUN];
  return {...PARTS_RULE, weight: PARTS_RULE.weight + moreWeight};
}

/** Crashes of sends that overlap, within this time of each other, have a common cause. */
export const SIMULTANEOUS_MS = 100;

/** Length of the first quarantine. */
export const INITIAL_QUARANTINE_MS = 30_000;

/** Each failed trial extends the quarantine by this factor: a day has few trials. */
const QUARANTINE_GROWTH = 6;

/** After this time an endpoint may have been repaired, however often it crashed. */
export const MAX_QUARANTINE_MS = 24 * 3_600_000;

/** Crashes that led to no quarantine, or to one that has ended, are ignored after this time. */
export const RETENTION_MS = 20 * 60_000;

/**
 * Scales the evidence of a crash by the logarithm of the odds that a feature which is not the
 * cause is present: a feature of all requests is present at each crash.
 */
export function shareFactor(share: number): number {
  if (share <= COMMON_SHARE) return 1;
  return Math.max(MIN_SHARE_FACTOR, Math.log(share) / Math.log(COMMON_SHARE));
}

/**
 * Crashes since the rule for a quarantine was met, undefined if it is not. A quarantine that took
 * more crashes than the fewest begins with one, as fewer are left that may be risked.
 */
export function countFailedTrials(
  rule: QuarantineRule,
  crashes: readonly RecordedCrash[],
  weightOf: (crash: RecordedCrash) => number,
): number | undefined {
  const weights = weighGroups(crashes, weightOf);
  let total = 0;
  const decisive = weights.findIndex((weight) => {
    total += weight;
    return total >= rule.weight;
  });
  if (decisive === -1) return undefined;
  const needed = decisive + 1;
  const isLate = needed > rule.crashes;
  return weights.length - needed + (isLate ? 1 : 0);
}

/** All evidence of crashes, of which simultaneous ones count once. */
export function totalWeight(
  crashes: readonly RecordedCrash[],
  weightOf: (crash: RecordedCrash) => number,
): number {
  return weighGroups(crashes, weightOf).reduce((sum, one) => sum + one, 0);
}

/** The weights of crashes in the order of time, of which simultaneous ones count once. */
function weighGroups(
  crashes: readonly RecordedCrash[],
  weightOf: (crash: RecordedCrash) => number,
): number[] {
  const weights: number[] = [];
  let first: RecordedCrash | undefined;
  const byTime = [...crashes].sort((a, b) => a.atMs - b.atMs);
  for (const crash of byTime) {
    if (first === undefined || !areSimultaneous(first, crash)) {
      weights.push(0);
      first = crash;
    }
    const last = weights.length - 1;
    weights[last] = Math.max(weights[last]!, weightOf(crash));
  }
  return weights;
}

/** True for crashes of sends that overlap, unless one crash was known when the other was sent. */
function areSimultaneous(first: RecordedCrash, next: RecordedCrash): boolean {
  if (next.knownLives?.includes(first.life)) return false;
  if (first.knownLives?.includes(next.life)) return false;
  const {atMs, sentAtMs} = next;
  return sentAtMs < first.atMs && atMs <= first.atMs + SIMULTANEOUS_MS;
}

/** Length of the quarantine after the newest crash. */
export function quarantineMs(failedTrials: number): number {
  const growth = QUARANTINE_GROWTH ** failedTrials;
  return Math.min(MAX_QUARANTINE_MS, INITIAL_QUARANTINE_MS * growth);
}
