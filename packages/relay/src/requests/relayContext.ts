import type {
  CallTimes,
  EnginePace,
  PromptSizes,
  RetryBudgets,
} from '@lilacledge/policy';
import type {Clock, Random} from '@lilacledge/shared';
import type {EndpointDirectory} from '../endpoints/endpointDirectory.js';
import type {SendLimits} from '../endpoints/sendLimits.js';
import type {Endpoint} from '../endpoints/endpoint.js';
import type {EndpointStatements} from '../endpoints/endpointStatements.js';
import type {EngineUseContext} from '../endpoints/engineUse.js';
import type {ViewGate} from '../endpoints/viewGate.js';
import type {ZoneEvacuations} from '../endpoints/zoneEvacuations.js';
import type {ZoneLoads} from '../endpoints/zoneLoads.js';
import type {DecisionLogger} from '../log/boundedLog.js';
import type {RelayMetrics} from '../relayMetrics.js';
import type {AskedPrompt} from '../peers/loadLooks.js';
import type {WireCodec} from '../ports.js';
import type {RelaySettings} from '../settings.js';
import type {RequestSuspicions} from '../suspicions/requestSuspicions.js';
import type {Switches} from '../switches.js';
import type {AdmissionQueue} from './admissionQueue.js';
import type {ClosingState} from './answerCaller.js';
import type {EngineTaken} from './generationAdmission.js';
import type {RunRegistry} from './runRegistry.js';

/** What the handling of a request uses of its process. */
export interface RelayContext {
  readonly settings: RelaySettings;
  readonly switches: Switches;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: DecisionLogger;
  readonly metrics: RelayMetrics;
  readonly codec: WireCodec;
  readonly endpoints: EndpointDirectory;
  readonly statements: EndpointStatements;
  readonly evacuations: ZoneEvacuations;
  /** What endpoints bear that are cold, or that name a rate. */
  readonly sendLimits: SendLimits;
  /** Requests under which endpoints have ended. */
  readonly suspicions: RequestSuspicions;
  /** Closed while what is known of endpoints may be too old. */
  readonly viewGate: ViewGate;
  readonly closing: ClosingState;
  readonly runs: RunRegistry;
  /** The budgets for sends beyond the first to endpoints, by service. */
  readonly retryBudgets: RetryBudgets;
  /** How long the calls of a plain service take. */
  callTimesOf(service: string): CallTimes;
  /** How fast the engines of a service work. */
  paceOf(service: string): EnginePace;
  /** How long the prompts of a service are. */
  promptSizesOf(service: string): PromptSizes;
  /** The requests that wait for room at a service's engines. */
  admissionOf(service: string): AdmissionQueue<EngineTaken>;
  /** Entries that serve callers now, this one too. */
  entryCount(): number;
  /** Asks engines for their loads as of now; the prompt is counted there. */
  askLoads(endpoints: readonly Endpoint[], prompt: AskedPrompt): Promise<void>;
  /** The prompt that was asked for is not sent to these engines. */
  releaseLoads(endpoints: readonly Endpoint[], prompt: AskedPrompt): void;
  /** Loads of engines whose sidecars do not report here. */
  readonly zoneLoads: ZoneLoads;
}

/** What a view of the engines' load needs of the process, as of now. */
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
