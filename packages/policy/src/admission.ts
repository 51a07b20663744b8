import {assertNever} from '@lilacledge/shared';
import type {SurvivalEstimate} from './lengthModel.js';

/** A generation's use of an engine's memory. */
export interface MemoryClaim {
  /** Tokens in memory now: the prompt and the output so far. */
  readonly heldTokens: number;
  /** Output tokens so far. */
  readonly producedTokens: number;
  /** Largest output that the caller allows. */
  readonly maxTokens: number;
  /** How long its output is likely to become. */
  readonly lengths: SurvivalEstimate;
}

/** How memory is allocated to generations; see docs/design/admission.md. */
export type AdmissionRule =
  | {readonly kind: 'expected'; readonly overflowChance: number}
  | {readonly kind: 'reserveMaximum'}
  | {readonly kind: 'fixedReserve'; readonly reserveShare: number}
  | {readonly kind: 'free'};

/**
 * Share of an engine that is reserved for shorter generations, for each doubling of
 * the expected output above `SHORT_OUTPUT_TOKENS`.
 */
const HEADROOM_PER_OCTAVE = 0.06;
const MAX_HEADROOM = 0.25;

/** Expected output up to which a generation may use the whole engine. */
const SHORT_OUTPUT_TOKENS = 96;

/**
 * The capacity up to which a generation may fill an engine. The longer its expected
 * output, the more is left to short generations, which free it again soon.
 */
export function usableCapacity(
  capacity: EngineCapacity,
  expectedOutput: number,
): EngineCapacity {
  const octaves = Math.max(0, Math.log2(expectedOutput / SHORT_OUTPUT_TOKENS));
  const share = 1 - Math.min(MAX_HEADROOM, HEADROOM_PER_OCTAVE * octaves);
  return {
    memoryTokens: capacity.memoryTokens * share,
    maxBatch: Math.ceil(capacity.maxBatch * share),
  };
}

export interface EngineCapacity {
  readonly memoryTokens: number;
  readonly maxBatch: number;
}

export type AdmissionDecision =
  | {readonly outcome: 'admit'}
  | {readonly outcome: 'wait'; readonly reason: 'memory' | 'batch'};

/** Numbers of further output tokens at which memory use is estimated. */
const HORIZONS_TOKENS: readonly number[] = [
  8, 32, 96, 256, 640, 1_536, 4_096, 10_240,
];

const ADMIT: AdmissionDecision = {outcome: 'admit'};
const WAIT_FOR_MEMORY: AdmissionDecision = {outcome: 'wait', reason: 'memory'};
const WAIT_FOR_BATCH: AdmissionDecision = {outcome: 'wait', reason: 'batch'};

/** Decides whether `candidate` may join the batch of `running` generations. */
export function decideAdmission(
  rule: AdmissionRule,
  capacity: EngineCapacity,
  running: readonly MemoryClaim[],
  candidate: MemoryClaim,
): AdmissionDecision {
  if (rule.kind === 'free') return ADMIT;
  if (running.length >= capacity.maxBatch) return WAIT_FOR_BATCH;
  if (running.length === 0) return ADMIT;
  return fitsMemory(rule, capacity.memoryTokens, [...running, candidate])
    ? ADMIT
    : WAIT_FOR_MEMORY;
}

function fitsMemory(
  rule: Exclude<AdmissionRule, {kind: 'free'}>,
  memoryTokens: number,
  claims: readonly MemoryClaim[],
): boolean {
  switch (rule.kind) {
    case 'reserveMaximum':
      return sum(claims, maximumOf) <= memoryTokens;
    case 'fixedReserve':
      return sum(claims, heldOf) <= memoryTokens * (1 - rule.reserveShare);
    case 'expected':
      return overflowChance(claims, memoryTokens) <= rule.overflowChance;
    default:
      return assertNever(rule);
  }
}

/**
 * The highest probability over all horizons that the claims together exceed the
 * memory. A claim is still running at a horizon with its conditional survival
 * probability; the total is approximated by a normal distribution.
 */
export function overflowChance(
  claims: readonly MemoryClaim[],
  memoryTokens: number,
): number {
  let maxChance = sum(claims, heldOf) > memoryTokens ? 1 : 0;
  for (const horizon of HORIZONS_TOKENS) {
    let mean = 0;
    let variance = 0;
    for (const claim of claims) {
      const survival = survivalAt(claim, horizon);
      const heldTokens = claim.heldTokens + horizon;
      mean += survival * heldTokens;
      variance += survival * (1 - survival) * heldTokens * heldTokens;
    }
    maxChance = Math.max(
      maxChance,
      probabilityAbove(memoryTokens, mean, variance),
    );
  }
  return maxChance;
}

function survivalAt(claim: MemoryClaim, horizon: number): number {
  if (claim.producedTokens + horizon >= claim.maxTokens) return 0;
  return claim.lengths.survival(claim.producedTokens, horizon);
}

function probabilityAbove(
  limit: number,
  mean: number,
  variance: number,
): number {
  if (variance < 1) return mean > limit ? 1 : 0;
  return normalTail((limit - mean) / Math.sqrt(variance));
}

/** P(Z > z), by the logistic approximation of Bowling et al. (2009). */
function normalTail(z: number): number {
  return 1 / (1 + Math.exp(1.5976 * z + 0.07056 * z ** 3));
}

function heldOf(claim: MemoryClaim): number {
  return claim.heldTokens;
}

function maximumOf(claim: MemoryClaim): number {
  return claim.heldTokens + claim.maxTokens - claim.producedTokens;
}

function sum(
  claims: readonly MemoryClaim[],
  amountOf: (claim: MemoryClaim) => number,
): number {
  let total = 0;
  for (const claim of claims) total += amountOf(claim);
  return total;
}
