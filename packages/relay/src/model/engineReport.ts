/** A generation held in an engine's memory. */
export interface ReportedRun {
  /** Id of the client attempt that the generation belongs to. */
  readonly requestId: string;
  readonly memoryTokens: number;
  readonly eventsMade: number;
}

/** Load of an engine. */
export interface EngineLoad {
  readonly queued: number;
  readonly active: number;
  /** Memory held by running generations. */
  readonly memoryUsedTokens: number;
  readonly memoryTokens: number;
  /** Prompt tokens that were sent to the engine and wait for prefill. */
  readonly promptBacklogTokens: number;
  /** The part that is processed before a new urgent prompt; undefined if unknown. */
  readonly urgentBacklogTokens?: number;
}

/** State that an engine reports to its sidecar. */
export interface EngineReport extends Omit<
  EngineLoad,
  'promptBacklogTokens' | 'urgentBacklogTokens'
> {
  /** Unix time of the engine's start; undefined if the engine does not report it. */
  readonly startedAtMs?: number;
  /** Time until the endpoint shuts down; undefined if no shutdown is announced. */
  readonly leavesInMs?: number;
  readonly runs: readonly ReportedRun[];
}
