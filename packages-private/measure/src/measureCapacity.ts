import {DEFAULT_ENGINE} from '@lilacledge/standins';
import type {EngineConstants} from '@lilacledge/standins';
import {ENGINE_COUNT} from './fleet.js';
import type {TraceRequest} from './trace.js';

/**
 * Computes how many requests of a workload the engines can serve per millisecond:
 * the rate at which one engine completes requests of the sample while its batch or
 * its memory is full, whichever limit is lower, times the number of engines.
 */
export function computeCapacityPerMs(
  sample: readonly TraceRequest[],
  constants: EngineConstants = DEFAULT_ENGINE,
): number {
  const meanOutputTokens = mean(sample.map((request) => request.outputTokens));
  const meanPromptTokens = mean(sample.map((request) => request.promptTokens));
  // A request holds memory for its whole prompt and for the output so far.
  const heldTokenSteps = mean(
    sample.map(
      ({promptTokens, outputTokens}) =>
        outputTokens * (promptTokens + outputTokens / 2),
    ),
  );
  const meanHeldTokens = heldTokenSteps / meanOutputTokens;
  const memoryBatchLimit = constants.memoryTokens / meanHeldTokens;
  const effectiveBatch = Math.min(constants.maxBatch, memoryBatchLimit);
  const stepMs =
    constants.stepBaseMs + constants.stepPerSequenceMs * effectiveBatch;
  const decodeMs = (meanOutputTokens * stepMs) / effectiveBatch;
  const prefillMs = meanPromptTokens / constants.promptTokensPerMs;
  return ENGINE_COUNT / (decodeMs + prefillMs);
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
