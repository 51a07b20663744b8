import {DEFAULT_ENGINE} from '@lilacledge/standins';
import type {EngineConstants} from '@lilacledge/standins';
import {ENGINES} from './fleet.js';
import type {TraceRequest} from './trace.js';

/**
 * Requests of a workload that the engines carry in a millisecond: the rate at
 * which one engine works through a sample of them with its batch or its memory
 * full, whichever binds first, times the number of engines.
 */
export function capacityPerMs(
  sample: readonly TraceRequest[],
  constants: EngineConstants = DEFAULT_ENGINE,
): number {
  const meanOutput = mean(sample.map((request) => request.outputTokens));
  const meanPrompt = mean(sample.map((request) => request.promptTokens));
  // A request holds its prompt from the start and its output as it grows.
  const heldTokenSteps = mean(
    sample.map(
      ({promptTokens, outputTokens}) =>
        outputTokens * (promptTokens + outputTokens / 2),
    ),
  );
  const meanHeld = heldTokenSteps / meanOutput;
  const byMemory = constants.memoryTokens / meanHeld;
  const batch = Math.min(constants.maxBatch, byMemory);
  const stepMs = constants.stepBaseMs + constants.stepPerSequenceMs * batch;
  const decodeMs = (meanOutput * stepMs) / batch;
  const promptMs = meanPrompt / constants.promptTokensPerMs;
  return ENGINES / (decodeMs + promptMs);
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
