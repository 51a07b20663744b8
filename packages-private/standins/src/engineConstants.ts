/**
 * Speed and capacity of the engine stand-in. The defaults approximate an
 * 8-billion-parameter model on one accelerator:
 * - a decoding step reads 16 GB of weights at about 2 TB/s, which takes 8 ms;
 *   each sequence adds the time to read its share of the key-value cache;
 * - a prompt token costs about 16 GFLOP, so that 40% of 300 TFLOP/s prefill
 *   about 7.5 tokens in a millisecond;
 * - the token memory is small on purpose, so that the engine is crowded.
 */
export interface EngineConstants {
  readonly stepBaseMs: number;
  readonly stepPerSequenceMs: number;
  readonly promptTokensPerMs: number;
  /** Limit of the prompt tokens that one step prefills. */
  readonly promptChunkTokens: number;
  readonly memoryTokens: number;
  readonly maxBatch: number;
  /** Size of the prefix cache in tokens. */
  readonly cacheTokens: number;
  /** Age of the state that a load report shows. */
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
