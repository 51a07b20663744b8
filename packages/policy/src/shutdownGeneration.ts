import type {EngineForecasts} from './enginePace.js';
import type {WorkDuration} from './shutdownAdmission.js';

/** A generation that arrives at a process during its graceful shutdown. */
export interface ShutdownGeneration {
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  readonly maxOutputTokens: number;
  /** Longest time without an event before the caller disconnects. */
  readonly longestSilenceMs: number;
}

/**
 * How long a generation takes, given the caller's estimate of the output.
 *
 * The expected duration is that of a slow generation: with the median pace some outputs of the
 * estimated length would be interrupted; allowing for longer outputs too would refuse more
 * callers than it saves. The longest one is that of the longest output after the longest wait:
 * the queueing time at the engine is unknown in advance, but the caller waits no longer than
 * `longestSilenceMs`.
 */
export function generationDuration(
  generation: ShutdownGeneration,
  pace: EngineForecasts,
): WorkDuration {
  const {promptTokens, expectedOutputTokens, maxOutputTokens} = generation;
  const expectedMs =
    pace.prefillMs(promptTokens) + pace.p97OutputMs(expectedOutputTokens);
  const longestMs =
    generation.longestSilenceMs + pace.maxExpectedOutputMs(maxOutputTokens);
  return {expectedMs, longestMs};
}
