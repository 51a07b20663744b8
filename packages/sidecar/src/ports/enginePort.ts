/** A request to an engine for one generation. */
export interface EngineRequest {
  readonly generationId: string;
  readonly model: string;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Lower values run first; the engine preempts the highest value first. */
  readonly priority: number;
  readonly traceparent: string;
}

export type EngineEvent =
  | {readonly type: 'tokens'; readonly texts: readonly string[]}
  | {
      readonly type: 'done';
      readonly finishReason: string;
      readonly promptTokens: number;
    };

/** The load that an engine reports about itself; it may be out of date. */
export interface EngineLoad {
  readonly memoryTokens: number;
  readonly usedTokens: number;
  readonly maxBatch: number;
  readonly running: number;
  readonly waiting: number;
  readonly preemptions: number;
}

/** A model engine; the sidecar is its only caller. */
export interface EnginePort {
  /**
   * Streams a generation until its `done` event. Aborting the signal cancels it
   * at the engine. Throws `EndpointError` if the engine refuses the request or
   * ends the stream early.
   */
  generate(
    request: EngineRequest,
    signal: AbortSignal,
  ): AsyncIterable<EngineEvent>;
  readLoad(): Promise<EngineLoad>;
}
