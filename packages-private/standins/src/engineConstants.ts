/**
 * How the engine stand-in behaves. The defaults are assumptions of the order
 * of an 8-billion-parameter model on one accelerator, not measurements:
 * - a decoding step reads 16 GB of weights at about 2 TB/s: 8 ms, and each
 *   sequence adds its share of cache reads;
 * - a prompt token costs about 16 GFLOP; at 40% of 300 TFLOP/s some 7.5 of
 *   them are read in a millisecond;
 * - the token memory is small on purpose: a crowded engine.
 */
export interface EngineConstants {
  readonly stepBaseMs: number;
  readonly stepPerSequenceMs: number;
  readonly promptTokensPerMs: number;
  /** Prompt tokens read in one step, at most. */
  readonly promptChunkTokens: number;
  readonly memoryTokens: number;
  readonly maxBatch: number;
  /** Tokens of prompts whose prefixes stay cached. */
  readonly cacheTokens: number;
  /** A load report shows the state of this long ago. */
  readonly loadLagMs: number;
}

export const DEFAULT_ENGINE: EngineConstants = {
  stepBaseMs: 8,
  stepPerSequenceMs: 0.25,
  promptTokensPerMs: 7.5,
  promptChunkTokens: 512,
  memoryTokens: 24_576,
  maxBatch: 48,
  cacheTokens: 16_384,
  loadLagMs: 250,
};
