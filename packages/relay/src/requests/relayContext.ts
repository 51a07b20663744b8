import type {
  CallTimes,
  EnginePace,
  PauseRisk,
  PromptSizes,
  RetryBudgets,
  RetryKind,
  RetryLoan,
  UrgentReserve,
} from '@lilacledge/policy';
import type {Clock, Random} from '@lilacledge/shared';
import type {EndpointDirectory} from '../endpoints/endpointDirectory.js';
import type {SendLimits} from '../endpoints/sendLimits.js';
import type {Endpoint} from '../endpoints/endpoint.js';
import type {EndpointAnnouncements} from '../endpoints/endpointAnnouncements.js';
import {EngineTimes} from '../endpoints/engineTimes.js';
import type {EngineUseContext} from '../endpoints/engineUse.js';
import type {ViewGate} from '../endpoints/viewGate.js';
import type {ZoneEvacuations} from '../endpoints/zoneEvacuations.js';
import type {ZoneLoads} from '../endpoints/zoneLoads.js';
import type {ReadingTurns} from '../http/readingTurns.js';
import type {Logger} from '../log/boundedLog.js';
import type {EngineTraits} from '../model/index.js';
import type {RelayMetrics} from '../relayMetrics.js';
import type {SilenceProbes} from '../endpoints/silenceProbes.js';
import type {QueriedPrompt} from '../peers/loadQueries.js';
import type {WireCodec} from '../ports.js';
import type {RelaySettings} from '../settings.js';
import type {RequestSuspicions} from '../suspicions/requestSuspicions.js';
import type {Switches} from '../switches.js';
import type {AdmissionQueue} from './admissionQueue.js';
import type {ClosingState} from './closingState.js';
import type {FleetDemands} from './fleetDemands.js';
import type {EngineReservation} from './generationAdmission.js';
import type {HeldAnswers} from './heldAnswers.js';
import type {HeldStreams} from './heldEvents.js';
import type {HeldRequestBodies} from './heldRequestBodies.js';
import type {RunRegistry} from './runRegistry.js';

/** Dependencies and shared state of this process that request handling uses. */
export interface RelayContext {
  readonly settings: RelaySettings;
  readonly switches: Switches;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly metrics: RelayMetrics;
  readonly codec: WireCodec;
  readonly endpoints: EndpointDirectory;
  readonly statements: EndpointAnnouncements;
  readonly evacuations: ZoneEvacuations;
  /** Limits sends to endpoints that are warming up or that announce a rate limit. */
  readonly sendLimits: SendLimits;
  /** Probes endpoints that have stopped answering. */
  readonly silenceProbes: SilenceProbes;
  /** Requests suspected of crashing endpoints. */
  readonly suspicions: RequestSuspicions;
  /** Closed while the known state of endpoints may be outdated; sends wait until it opens. */
  readonly viewGate: ViewGate;
  readonly closing: ClosingState;
  readonly runs: RunRegistry;
  /** Events that callers have not read yet. */
  readonly heldStreams: HeldStreams;
  /** Request bodies that are read or needed. */
  readonly heldBodies: HeldRequestBodies;
  /** Plain answers that callers have not taken yet. */
  readonly heldAnswers: HeldAnswers;
  /** Bounds the memory of chunks that are no longer held. */
  readonly readingTurns: ReadingTurns;
  /** Budgets for retries and continuations, by service. */
  readonly retryBudgets: RetryBudgets;
  /** Asks other entries for a retry out of their shares of the budget. */
  borrowRetry(service: string, kind: RetryKind): Promise<RetryLoan | undefined>;
  /** Durations of the calls of a non-streaming service. */
  callTimesOf(service: string): CallTimes;
  /** Measured speed of a usual engine of a service. */
  paceOf(service: string): EnginePace;
  /** Distribution of the gaps between the events of a service. */
  pauseRiskOf(service: string): PauseRisk;
  /** The usual prompt size of a service. */
  promptSizesOf(service: string): PromptSizes;
  /** Room that generations that can wait leave for urgent ones of a service. */
  urgentReserveOf(service: string): UrgentReserve;
  /** The queue of requests that wait for room at a service's engines. */
  admissionOf(service: string): AdmissionQueue<EngineReservation>;
  /** The demand of the callers of all entries. */
  readonly demands: FleetDemands;
  /** Number of entries that serve callers now, including this one. */
  entryCount(): number;
  /** Queries the current loads of engines, which count the prompt from then on. */
  queryLoads(
    endpoints: readonly Endpoint[],
    prompt: QueriedPrompt,
  ): Promise<void>;
  /** Tells engines that they will not get the prompt that they were queried for. */
  releaseLoads(endpoints: readonly Endpoint[], prompt: QueriedPrompt): void;
  /** Loads of engines whose sidecars do not report to this process. */
  readonly zoneLoads: ZoneLoads;
}

/** The current inputs for estimating the load of engines. */
export function engineUseContext(context: RelayContext): EngineUseContext {
  return {
    zone: context.settings.zone,
    nowMs: context.clock.nowMs(),
    random: context.random,
    drainMs: context.settings.drainMs,
    runs: context.runs,
    entryCount: context.entryCount(),
    zoneLoads: context.zoneLoads,
  };
}

/** How long work takes now at an engine with these traits. */
export function engineTimesAt(
  context: RelayContext,
  {record, speed}: Endpoint,
  {tokensPerEvent}: EngineTraits,
): EngineTimes {
  const pace = context.paceOf(record.service);
  const nowMs = context.clock.nowMs();
  return new EngineTimes({pace, speed, nowMs, tokensPerEvent});
}
