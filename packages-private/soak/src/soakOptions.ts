import type {PlannedFault} from './faultPlan.js';
import type {RetryWindow} from './repeatLedger.js';
import type {CrashingRequests} from './soakLoad.js';
import type {SoakShape} from './soakShape.js';

/** What a soak runs, and under which faults. */
export interface SoakOptions {
  readonly seed: number;
  /** Time during which faults are injected. */
  readonly durationMs: number;
  /** Approximate number of programs; a shape gives the numbers by role instead. */
  readonly processes: number;
  readonly shape?: SoakShape;
  readonly print: (line: string) => void;
  /** Also injects faults that leave unclear which endpoint an id stands for. */
  readonly hasIdentityFaults?: boolean;
  /** Also evacuates zones. */
  readonly hasZoneFaults?: boolean;
  /** Also restores the store from older copies. */
  readonly hasRestores?: boolean;
  /** Also has a caller whose requests crash each engine that runs them, of one kind. */
  readonly crashing?: CrashingRequests;
  /** Also has a caller that disconnects before its drafts are complete. */
  readonly hasLeavingCaller?: boolean;
  /** Also has a caller at each entry that reads its drafts late or never. */
  readonly hasSlowReaders?: boolean;
  /** Also has endpoints that report a changing pace and work accordingly. */
  readonly hasPaceChanges?: boolean;
  /** Instead of the usual faults, endpoints reject most requests while entries restart. */
  readonly hasShedding?: boolean;
  /**
   * Instead of the usual faults, endpoints fall silent and get later all that was sent to them,
   * while others reject requests and entries end.
   */
  readonly hasSilences?: boolean;
  /** Instead of the usual faults, endpoints reject at times while callers come in bursts. */
  readonly hasBursts?: boolean;
  /**
   * Instead of the usual faults, entries restart, with a port of theirs taken for a moment, while
   * many callers send large bodies that they don't finish.
   */
  readonly hasUploads?: boolean;
  /** Instead of the usual faults, plain endpoints answer half of their calls with errors. */
  readonly hasFailingEndpoints?: boolean;
  /** Instead of the usual faults, endpoints announce limits, leaves and backoffs in answers. */
  readonly hasStatements?: boolean;
  /**
   * Instead of the usual faults, endpoints leave while a large configuration keeps changing
   * over slow links to the store.
   */
  readonly hasLargeConfig?: boolean;
  /**
   * Instead of the usual faults, combined ones: silent connections and leaves, slow engines that
   * leave under resumed streams, an outage and a start of all entries.
   */
  readonly hasCombinedFaults?: boolean;
  /** Injected instead of the faults of the seed, to narrow a failure down. */
  readonly faults?: readonly PlannedFault[];
}

/** The result of a soak. */
export interface SoakVerdict {
  readonly seed: number;
  readonly processes: number;
  readonly faults: number;
  readonly attempts: number;
  readonly good: number;
  readonly runs: number;
  /** Engines that crashed under the crashing requests. */
  readonly deadlyEnds: number;
  /** Sends after the first one of a request that reached an endpoint. */
  readonly repeats: number;
  /** The worst window of each service, against the retry budget that all entries share. */
  readonly worstRetryWindows: readonly RetryWindow[];
  /** Retries that the entries have counted in their budgets, by their logs. */
  readonly countedRetries: number;
  /** Of the repeats, those that were compared with the counter of their entry. */
  readonly comparedWithCounters: number;
  /** Callers that disconnected while an engine ran their request, and that could be checked. */
  readonly callersLeft: number;
  /** Drafts that were read late and complete. */
  readonly slowReads: number;
  /** Requests that reached endpoints while they announced a rate limit. */
  readonly limited: number;
  /** Requests that reached endpoints while they announced their leave in answers. */
  readonly atLeaving: number;
  /** Rejections by which endpoints requested a backoff. */
  readonly rests: number;
  /** Highest resident memory of a program. */
  readonly peakMb: number;
  /** Ports that were taken while programs started again. */
  readonly takenPorts: number;
  readonly violations: readonly string[];
  /** Folder of the programs' logs, kept when a guarantee was violated. */
  readonly logFolder: string | undefined;
}
