import type {PolicySettings} from '@lilacledge/config';
import type {
  LengthEstimator,
  LengthModel,
  MemoryClaim,
} from '@lilacledge/policy';
import type {Generation} from './generation.js';

/**
 * Expected output up to which a request counts as short, and so may be admitted
 * while longer ones are held back.
 */
const SHORT_OUTPUT_TOKENS = 96;

/** Engine priority levels, by expected length, within one request priority. */
const LENGTH_LEVELS = 4;

/** A generation with its scheduling state. */
export interface ScheduledGeneration {
  readonly generation: Generation;
  readonly lengthModel: LengthModel;
  readonly expectedOutputTokens: number;
  readonly expectedTokens: number;
  /** Time of the latest token; 0 before the first one. */
  lastAtMs: number;
  /** Output tokens that the estimates include so far. */
  countedTokens: number;
}

/** The state of a generation that has not run yet, with the output expected of it. */
export function toScheduled(
  generation: Generation,
  estimator: LengthEstimator,
): ScheduledGeneration {
  const {organisationId, promptTokens, maxTokens} = generation.request;
  const lengthModel = estimator.modelFor(organisationId, maxTokens);
  const expectedOutputTokens = lengthModel.expectedRemaining(0, maxTokens);
  return {
    generation,
    lengthModel,
    expectedOutputTokens,
    expectedTokens: promptTokens + expectedOutputTokens,
    lastAtMs: 0,
    countedTokens: 0,
  };
}

/** True for a request that is expected to release its memory soon. */
export function isShort(item: ScheduledGeneration): boolean {
  return item.expectedOutputTokens <= SHORT_OUTPUT_TOKENS;
}

/**
 * Priority at the engine: the request's priority, and within it the shorter
 * generation first, so that an engine without free memory preempts the longest.
 */
export function enginePriority(
  policy: PolicySettings,
  item: ScheduledGeneration,
): number {
  const basePriority = item.generation.request.priority * LENGTH_LEVELS;
  if (policy.queue === 'firstInFirstOut') return basePriority;
  const octaves = Math.log2(item.expectedOutputTokens / SHORT_OUTPUT_TOKENS);
  const level = Math.ceil(octaves);
  return basePriority + Math.max(0, Math.min(LENGTH_LEVELS - 1, level));
}

/** The engine memory that a generation holds now and may hold later. */
export function toClaim(item: ScheduledGeneration): MemoryClaim {
  const {promptTokens, maxTokens} = item.generation.request;
  return {
    heldTokens: promptTokens + item.generation.producedTokens,
    producedTokens: item.generation.producedTokens,
    maxTokens,
    lengths: item.lengthModel,
  };
}
