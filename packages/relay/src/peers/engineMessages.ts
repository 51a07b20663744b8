/** @fileoverview Messages between entries and sidecars on the load and the runs of an engine. */

/** The current load of the engine beside a sidecar. */
export interface EngineLoadReport {
  readonly type: 'engineLoad';
  readonly queued: number;
  readonly active: number;
  readonly memoryUsedTokens: number;
  readonly memoryTokens: number;
  /** Prompt tokens of all entries' requests that the engine has not yet processed. */
  readonly promptBacklogTokens: number;
  /**
   * The part of the backlog that the engine processes before a new urgent request. Absent
   * until an entry has sent a request with a priority.
   */
  readonly urgentBacklogTokens?: number;
  /** Time until the engine shuts down; undefined if it does not. */
  readonly leavesInMs?: number;
  /** Unix time of the engine's start; undefined if it does not report it. */
  readonly startedAtMs?: number;
  /** Steady time per output token; undefined until an entry needs it and it is known. */
  readonly outputTokenMs?: number;
}

/**
 * Queries the current load of the receiver's engine, for a prompt that may be sent there.
 * The receiver counts the prompt in its reports to others until the sender decides.
 */
export interface LoadAsk {
  readonly type: 'loadAsk';
  readonly requestId: string;
  readonly promptTokens: number;
  /** Priority with which the prompt would be sent, 0 first. */
  readonly enginePriority?: number;
}

/** Ends a load query's count: the prompt goes to another engine or keeps waiting. */
export interface LoadRelease {
  readonly type: 'loadRelease';
  readonly requestId: string;
}

/** The sender relays the stream of a run at the receiver's engine. */
export interface RunStarted {
  readonly type: 'runStarted';
  readonly requestId: string;
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  /** Priority with which it was sent, 0 first. */
  readonly enginePriority?: number;
  /** Unix time of the engine's start, as known to the sender. */
  readonly startedAtMs?: number;
  /** True if the sender has seen an answer in which an engine of the service reports its pace. */
  readonly tellsPace?: boolean;
}

/** The run has ended or was moved away from the receiver's engine. */
export interface RunEnded {
  readonly type: 'runEnded';
  readonly requestId: string;
}

/**
 * Asks the receiver for the link of its engine, which stays, to move a run to an engine that
 * suits it better. It is sent only to sidecars whose `hello` lists it, since those of earlier
 * builds close a link on which an unknown message arrives.
 */
export interface MoveAsk {
  readonly type: 'moveAsk';
  readonly requestId: string;
  /** By how much the move raises the probability that the run keeps its pauses. */
  readonly gain: number;
}

/** The engine's network link is free: the receiver should move this run now. */
export interface MoveGrant {
  readonly type: 'moveGrant';
  readonly requestId: string;
  /** True if it answers a `moveAsk`; otherwise the engine is leaving. */
  readonly isForBalance?: boolean;
}

/** The receiver's grant was used, or cannot be used. */
export interface MoveDone {
  readonly type: 'moveDone';
  readonly requestId: string;
  readonly isMoved: boolean;
}

/** Asks whether a run can be copied to the receiver's engine now. */
export interface CopyAsk {
  readonly type: 'copyAsk';
  readonly requestId: string;
  readonly tokens: number;
}

/** Answers whether the engine's network link and memory are free for the copy. */
export interface CopyAnswer {
  readonly type: 'copyAnswer';
  readonly requestId: string;
  readonly isFree: boolean;
}

/** Ends a reservation: the copy is complete or will not be made. */
export interface CopyDone {
  readonly type: 'copyDone';
  readonly requestId: string;
}
