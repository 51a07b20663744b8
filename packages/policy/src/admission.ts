import {assertNever} from '@lilacledge/shared';
import type {SurvivalEstimate} from './lengthModel.js';

/** A generation as the accounting of an engine's memory sees it. */
export interface MemoryClaim {
  /** Tokens held now: prompt and output so far. */
  readonly heldTokens: number;
  /** Output so far. */
  readonly produced: number;
  /** Most output that was asked for. */
  readonly maxTokens: number;
  readonly lengths: SurvivalEstimate;
}

/** The rules by which memory is granted; see docs/design/admission.md. */
export type AdmissionRule =
  | {readonly kind: 'expected'; readonly overflowChance: number}
  | {readonly kind: 'reserveMaximum'}
  | {readonly kind: 'fixedReserve'; readonly reserveShare: number}
  | {readonly kind: 'free'};

/** Share of an engine that is kept free of work this much above short. */
const HEADROOM_PER_OCTAVE = 0.06;
const MAX_HEADROOM = 0.25;

/** Expected output up to which a generation may use the whole engine. */
const SHORT_OUTPUT_TOKENS = 96;

/**
 * The part of an engine that a generation may help to fill. The longer its
 * expected output, the more is left to short ones, which soon give it back.
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

/** Output tokens ahead at which the use of memory is looked at. */
const HORIZONS_TOKENS: readonly number[] = [
  8, 32, 96, 256, 640, 1_536, 4_096, 10_240,
];

const ADMIT: AdmissionDecision = {outcome: 'admit'};
const WAIT_FOR_MEMORY: AdmissionDecision = {outcome: 'wait', reason: 'memory'};
const WAIT_FOR_BATCH: AdmissionDecision = {outcome: 'wait', reason: 'batch'};

/** Decides whether `candidate` may join the `running` generations. */
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
 * The highest chance, over all horizons, that the claims together need more
 * than the memory. Each claim is alive at a horizon with its conditional
 * survival; the sum is taken as normal.
 */
export function overflowChance(
  claims: readonly MemoryClaim[],
  memoryTokens: number,
): number {
  let worst = sum(claims, heldOf) > memoryTokens ? 1 : 0;
  for (const horizon of HORIZONS_TOKENS) {
    let mean = 0;
    let variance = 0;
    for (const claim of claims) {
      const alive = aliveAt(claim, horizon);
      const held = claim.heldTokens + horizon;
      mean += alive * held;
      variance += alive * (1 - alive) * held * held;
    }
    worst = Math.max(worst, chanceAbove(memoryTokens, mean, variance));
  }
  return worst;
}

function aliveAt(claim: MemoryClaim, horizon: number): number {
  if (claim.produced + horizon >= claim.maxTokens) return 0;
  return claim.lengths.survival(claim.produced, horizon);
}

function chanceAbove(limit: number, mean: number, variance: number): number {
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
  return claim.heldTokens + claim.maxTokens - claim.produced;
}

function sum(
  claims: readonly MemoryClaim[],
  amountOf: (claim: MemoryClaim) => number,
): number {
  let total = 0;
  for (const claim of claims) total += amountOf(claim);
  return total;
}
