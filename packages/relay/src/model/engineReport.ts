/** One generation in an engine's memory. */
export interface ReportedRun {
  /** The client attempt that it belongs to. */
  readonly requestId: string;
  readonly memoryTokens: number;
  readonly eventsMade: number;
}

/** How busy an engine is. */
export interface EngineLoad {
  readonly queued: number;
  readonly active: number;
  /** Memory that running generations hold. */
  readonly memoryUsedTokens: number;
  readonly memoryTokens: number;
  /** Prompt tokens that were sent there and are not read yet. */
  readonly promptBacklogTokens: number;
}

/** What an engine tells of itself. */
export interface EngineReport extends Omit<EngineLoad, 'promptBacklogTokens'> {
  /** Unix time of the engine's start; undefined where engines do not tell it. */
  readonly startedAtMs?: number;
  /** Time until the endpoint goes away; undefined while none is known. */
  readonly leavesInMs?: number;
  readonly runs: readonly ReportedRun[];
}
