import type {PolicySettings} from '@lilacledge/config';
import type {LengthModel, MemoryClaim} from '@lilacledge/policy';
import type {Generation} from './generation.js';

/** Expected output up to which a request passes while others are held back. */
const SHORT_OUTPUT_TOKENS = 96;

/** Levels of length within one priority of an organisation. */
const LENGTH_LEVELS = 4;

/** A generation with what its scheduling needs. */
export interface Scheduled {
  readonly generation: Generation;
  readonly lengths: LengthModel;
  readonly expectedOutput: number;
  readonly expectedTokens: number;
  /** When the engine was last heard for it; 0 before its first token. */
  heardMs: number;
  /** Output counted so far in the length model and the claim. */
  counted: number;
}

/** True for a request that is expected to give its room back soon. */
export function isShort(item: Scheduled): boolean {
  return item.expectedOutput <= SHORT_OUTPUT_TOKENS;
}

/**
 * Priority at the engine: the organisation's, and within it shorter work
 * first, so that an engine out of memory pushes the longest aside.
 */
export function enginePriority(
  policy: PolicySettings,
  item: Scheduled,
): number {
  const first = item.generation.request.priority * LENGTH_LEVELS;
  if (policy.queue === 'firstInFirstOut') return first;
  const octaves = Math.log2(item.expectedOutput / SHORT_OUTPUT_TOKENS);
  const level = Math.ceil(octaves);
  return first + Math.max(0, Math.min(LENGTH_LEVELS - 1, level));
}

/** What a scheduled generation holds of the engine's memory, and may hold. */
export function toClaim(item: Scheduled): MemoryClaim {
  const {promptTokens, maxTokens} = item.generation.request;
  return {
    heldTokens: promptTokens + item.generation.produced,
    produced: item.generation.produced,
    maxTokens,
    lengths: item.lengths,
  };
}
