import {
  CrashReportLimit,
  CrashSuspicions,
  isPart,
  isPlannedExit,
  isChosenForTrial,
} from '@lilacledge/policy';
import type {EndpointExit, Exposure, Suspicion} from '@lilacledge/policy';
import {assertNever} from '@lilacledge/shared';
import type {Clock} from '@lilacledge/shared';
import type {Endpoint} from '../endpoints/endpoint.js';
import {hasProcessEnded} from '../http/hasEnded.js';
import type {Logger} from '../log/boundedLog.js';
import type {CallerExchange} from '../requests/callerExchange.js';
import {describeFeatures} from '../requests/describeFeatures.js';

/** A trial ends after this time at the latest; until then callers are told to retry. */
const TRIAL_MS = 5_000;

/** Where a change of a suspicion was learned. */
export const SuspicionSource = {
  /** A send of this entry. */
  OWN: 'own',
  PEER: 'peer',
  STORE: 'store',
} as const;
export type SuspicionSource =
  (typeof SuspicionSource)[keyof typeof SuspicionSource];

/**
 * Time from a crash until it is explained. Other requests of the endpoint are reported within it;
 * peers wait longer, as they are told of what the entry that saw the crash finds.
 */
const EXPLANATION_DELAYS_MS: Readonly<Record<SuspicionSource, number>> = {
  [SuspicionSource.OWN]: 200,
  [SuspicionSource.PEER]: 1_000,
  [SuspicionSource.STORE]: 1_000,
};

/** A send whose connection broke before its answer showed that the request is harmless. */
export interface BrokenSend {
  readonly exposure: Exposure;
  /** True if events of the answer had arrived. */
  readonly hasEvents?: boolean;
  readonly sentMs: number;
  /** How long the endpoint is probed; its caller waits for the result. */
  readonly probeMs: number;
}

/** The id of one attempt, and what other requests may have in common with it. */
type RequestIdentity = Pick<CallerExchange, 'id' | 'features'>;

/** A request as it is counted in the shares of features. */
type CountedRequest = Pick<CallerExchange, 'allowed' | 'features'>;

type EndedEndpoint = Pick<
  Endpoint,
  'id' | 'record' | 'isLeaving' | 'hasReportedLeave' | 'removedAtMs'
>;

/** Names of the entries of which exactly one makes the trial of a request. */
export interface TrialEntries {
  readonly self: string;
  members(): readonly string[];
}

/** Called with what is new of a suspicion. */
type Listener = (change: Suspicion, source: SuspicionSource) => void;

/**
 * Tracks what requests during which endpoints crashed have in common, as seen by this entry or
 * received from others. Only the entry whose send broke records a crash: it knows how much of
 * the answer had arrived, and checks itself whether the endpoint is gone.
 */
export class RequestSuspicions {
  private readonly known: CrashSuspicions;
  private readonly listeners: Listener[] = [];
  private readonly unstoredListeners: Array<(feature: string) => void> = [];
  /** Revisions of the stored keys by feature, those of features that are served too. */
  private readonly storedRevisions = new Map<string, number>();
  private readonly reportLimit: CrashReportLimit;
  private trial:
    {readonly requestId: string; readonly untilMs: number} | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly entries: TrialEntries,
  ) {
    this.known = new CrashSuspicions(clock);
    this.reportLimit = new CrashReportLimit(clock);
  }

  /** Number of tracked features of requests. */
  get size(): number {
    return this.known.size;
  }

  get all(): Suspicion[] {
    return this.known.all;
  }

  /** The suspicion against a feature of requests, if any. */
  get(feature: string): Suspicion | undefined {
    return this.known.get(feature);
  }

  /** The features under which requests are quarantined or on trial. */
  get quarantined(): readonly string[] {
    return this.known.quarantined;
  }

  /** The crashes for which a feature is quarantined; undefined if it is not. */
  quarantineEvidence(feature: string): Suspicion | undefined {
    return this.known.quarantineEvidence(feature);
  }

  /** Calls `listener` with each change of a suspicion. */
  onChange(listener: Listener): void {
    this.listeners.push(listener);
  }

  /** Calls `listener` with each quarantined feature that the store turns out to lack. */
  onUnstored(listener: (feature: string) => void): void {
    this.unstoredListeners.push(listener);
  }

  /** The stored keys, by feature, with their revisions. */
  get stored(): ReadonlyMap<string, number> {
    return this.storedRevisions;
  }

  /** The store has a key of a feature, which was written at this revision. */
  noteStored(feature: string, revision: number): void {
    this.storedRevisions.set(feature, revision);
  }

  /** The store lacks the key of a feature. */
  noteUnstored(feature: string): void {
    this.storedRevisions.delete(feature);
    for (const listener of this.unstoredListeners) listener(feature);
  }

  /** Counts a request, as a feature of most requests is present at most crashes. */
  noteRequest(exchange: CountedRequest): void {
    if (this.known.isEmpty) return;
    const {allowed, features} = exchange;
    this.known.noteRequest(allowed.service, features);
  }

  /** How long this attempt must not be sent; undefined if it may be sent now. */
  quarantineMs(exchange: RequestIdentity): number | undefined {
    if (this.known.isEmpty) return undefined;
    const verdict = this.known.verdict(exchange.features);
    switch (verdict.kind) {
      case 'free':
      case 'suspected':
        return undefined;
      case 'quarantined':
        return verdict.forMs;
      case 'onTrial':
        return this.mayRunTrial(exchange.id, verdict.feature)
          ? undefined
          : TRIAL_MS;
      default:
        return assertNever(verdict);
    }
  }

  /** True if requests with the feature and its usual company are not sent, except on trial. */
  isQuarantined(feature: string): boolean {
    return this.known.isQuarantined(feature);
  }

  /** True if endpoints crashed during requests with these features, possibly by coincidence. */
  isSuspected(exchange: RequestIdentity): boolean {
    if (this.known.isEmpty) return false;
    return this.known.verdict(exchange.features).kind !== 'free';
  }

  /** True if this entry is the one that stores and tries the quarantined feature. */
  isChosenFor(feature: string): boolean {
    const {self, members} = this.entries;
    return isChosenForTrial(feature, self, members());
  }

  /** True if this entry is the one that makes the trial, and no other attempt is on trial. */
  private mayRunTrial(id: string, feature: string): boolean {
    if (!this.isChosenFor(feature)) return false;
    const nowMs = this.clock.nowMs();
    const isOpen = this.trial !== undefined && nowMs < this.trial.untilMs;
    if (isOpen && this.trial?.requestId !== id) return false;
    if (!isOpen) this.trial = {requestId: id, untilMs: nowMs + TRIAL_MS};
    return true;
  }

  /** Records a crash if the endpoint is gone after the connection of a send broke. */
  async noteBrokenSend(
    exchange: RequestIdentity,
    endpoint: EndedEndpoint,
    {exposure, hasEvents, sentMs, probeMs}: BrokenSend,
  ): Promise<void> {
    if (isPlannedExit(this.leaveOf(endpoint))) return;
    if (!this.mayReport(exchange.features.length)) return;
    const brokenMs = this.clock.nowMs();
    if (!(await hasProcessEnded(endpoint.record.address, probeMs))) return;
    const nowMs = this.clock.nowMs();
    const changes = this.known.noteCrash(exchange.features, {
      life: incarnationOf(endpoint),
      exposure,
      hasEvents,
      agoMs: nowMs - brokenMs,
      sentAgoMs: nowMs - sentMs,
    });
    if (changes.length === 0) return;
    this.log.warn('endpoint.endedUnder', {
      request: exchange.id,
      features: describeFeatures(exchange.features),
      endpoint: endpoint.id,
      exposure,
      hasEvents,
    });
    for (const change of changes) this.changed(change, SuspicionSource.OWN);
  }

  /** Clears the features of a request whose answer shows that it does not crash endpoints. */
  noteServed(exchange: RequestIdentity): void {
    if (this.known.isEmpty) return;
    const changes = this.known.noteServed(exchange.features);
    for (const change of changes) {
      const {fingerprint: feature} = change;
      this.log.info('request.cleared', {request: exchange.id, feature});
      this.changed(change, SuspicionSource.OWN);
    }
  }

  /** Merges a suspicion received from a peer or read from the store. */
  merge(suspicion: Suspicion, source: SuspicionSource): void {
    const change = this.known.merge(suspicion);
    if (change !== undefined) this.changed(change, source);
  }

  /** Looks for an explanation once the other requests of the crash are known. */
  private explainLater(feature: string, source: SuspicionSource): void {
    const delayMs = EXPLANATION_DELAYS_MS[source];
    this.clock.after(delayMs, () => {
      for (const explained of this.known.explain(feature)) {
        this.changed(explained, source);
      }
    });
  }

  private mayReport(featureCount: number): boolean {
    const entryCount = this.entries.members().length;
    const {isAllowed, isFirstRefused} = this.reportLimit.take(
      entryCount,
      featureCount,
    );
    if (isFirstRefused) this.log.warn('suspicions.unreported', {entryCount});
    return isAllowed;
  }

  private leaveOf(endpoint: EndedEndpoint): EndpointExit {
    const {isLeaving, hasReportedLeave, removedAtMs} = endpoint;
    const removedAgoMs =
      removedAtMs === undefined ? undefined : this.clock.nowMs() - removedAtMs;
    return {isLeaving, hasSaidLeave: hasReportedLeave, removedAgoMs};
  }

  private changed(change: Suspicion, source: SuspicionSource): void {
    const {fingerprint: feature} = change;
    const suspicion = this.known.get(feature);
    // It may have been evicted at once if too many features are tracked.
    if (suspicion === undefined) return;
    const {ends, cleared} = suspicion;
    this.log.info('request.suspicion', {
      feature,
      source,
      ends: ends.length,
      cleared: cleared.length,
      isQuarantined: this.isQuarantined(feature),
    });
    for (const listener of this.listeners) listener(change, source);
    if (change.ends.length > 0 && !isPart(feature)) {
      this.explainLater(feature, source);
    }
  }
}

/** Identifies an incarnation: an endpoint that restarts in place keeps its id. */
function incarnationOf({id, record}: EndedEndpoint): string {
  return `${id}@${record.startedAtMs ?? ''}`;
}
