import type {EnginePace} from './enginePace.js';

/** A generation that reaches a process which is told to stop. */
export interface LastGeneration {
  /** Time until the process cuts what is still open; infinite while it stays. */
  readonly timeLeftMs: number;
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  readonly maxOutputTokens: number;
  /** Longest time without an event after which its caller leaves. */
  readonly longestSilenceMs: number;
}

/**
 * Whether a generation is likely to be whole before its process ends: its output
 * fits as its caller estimates it, at the pace of a slow one.
 *
 * Answers the pattern of work that is begun during a shutdown and lost with it: a
 * caller who is refused asks another process at once, one who is cut has nothing.
 * At the usual pace some of those that are as long as estimated would be cut; allowing
 * for long outputs too would turn more callers away than it saves from a cut.
 */
export function endsInTime(
  generation: LastGeneration,
  pace: EnginePace,
): boolean {
  const {timeLeftMs, promptTokens, expectedOutputTokens} = generation;
  const outputMs = pace.slowOutputMs(expectedOutputTokens);
  return outputMs <= timeLeftMs - pace.readMs(promptTokens);
}

/**
 * Whether even the longest output is made before the process ends, however long its engine
 * lets it wait: nobody knows that before one is taken, and a caller bears no more than
 * its longest silence.
 */
export function endsInAnyCase(
  {timeLeftMs, maxOutputTokens, longestSilenceMs}: LastGeneration,
  pace: EnginePace,
): boolean {
  const outputMs = pace.longestOutputMs(maxOutputTokens);
  return outputMs <= timeLeftMs - longestSilenceMs;
}
