import type {
  DemandReport,
  Suspicion,
  PeerLimitReport,
} from '@lilacledge/policy';
import type {ZoneStatus} from '../endpoints/zoneEvacuations.js';
import type {ZoneLoad} from '../endpoints/zoneLoads.js';
import {areDemandReports} from './demandMessage.js';
import {isCrashEnd} from './suspicionMessage.js';

/** Role of a process in the deployment. */
export const PeerRole = {ENTRY: 'entry', SIDECAR: 'sidecar'} as const;
export type PeerRole = (typeof PeerRole)[keyof typeof PeerRole];

/** First message of each side of a link. */
export interface Hello {
  readonly type: 'hello';
  readonly instance: string;
  readonly role: PeerRole;
  /** Availability zone of the sender. */
  readonly zone: string;
  /** Address at which peers dial the sender; only entries have one. */
  readonly linkAddress?: string;
  /** Address of the endpoint beside the sender; only sidecars have one. */
  readonly endpointAddress?: string;
  /**
   * Types of messages that the sender reads beyond those of its first build. A build
   * closes a link over which it gets a type that it does not know.
   */
  readonly readsTypes?: readonly string[];
}

/** Address and availability zone of an entry. */
export interface EntryLocation {
  readonly address: string;
  readonly zone: string;
}

/** Entries that were added or removed since the sender's last message of this type. */
export interface Members {
  readonly type: 'members';
  readonly entries: readonly EntryLocation[];
  /** Addresses of the removed entries. */
  readonly gone: readonly string[];
  /** True where a sidecar should link to entries of its own zone only. */
  readonly isZoned: boolean;
}

/** Announces the version of the sender's active configuration. */
export interface ConfigNotice {
  readonly type: 'configNotice';
  readonly version: number;
}

/** Requests the receiver's active configuration. */
export interface ConfigRequest {
  readonly type: 'configRequest';
}

/** A configuration in the store's encoding. */
export interface ConfigBody {
  readonly type: 'configBody';
  readonly bytes: Uint8Array;
}

/** Requests a part of a version; at the first byte the receiver may send its newer version. */
export interface ConfigPartRequest {
  readonly type: 'configPartRequest';
  readonly version: number;
  readonly offset: number;
}

/** A part of a configuration in the store's encoding. */
export interface ConfigPart {
  readonly type: 'configPart';
  readonly version: number;
  readonly offset: number;
  /** Size of the whole version. */
  readonly totalBytes: number;
  readonly bytes: Uint8Array;
}

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

/** Mean load of the engines of one service in the sender's zone. */
export interface ZoneLoadNotice extends ZoneLoad {
  readonly type: 'zoneLoad';
}

/** The sender avoids an endpoint that refused or failed its requests. */
export interface EndpointDoubted {
  readonly type: 'endpointDoubted';
  readonly endpointId: string;
  /** Unix start time of the incarnation that is avoided. */
  readonly startedAtMs?: number;
  /** How much longer it is avoided. */
  readonly forMs: number;
}

/** The rate limit that an endpoint announces in its answers, as known to the sender. */
export interface EndpointLimitNotice extends PeerLimitReport {
  readonly type: 'endpointLimit';
  readonly endpointId: string;
  /** Unix start time of the incarnation that announced it. */
  readonly startedAtMs?: number;
}

/** The evacuation status of an availability zone, as known to the sender. */
export interface ZoneStatusNotice extends ZoneStatus {
  readonly type: 'zoneStatus';
}

/** The crashes of endpoints during a request, as known to the sender. */
export interface SuspicionNotice extends Suspicion {
  /** `longSuspicion` if it names more features than earlier builds read in one list. */
  readonly type: 'suspicion' | 'longSuspicion';
}

/** Retry counts of earlier builds, which are not used. */
export interface RetryUseNotice {
  readonly type: 'retryUse' | 'formerRetryUse';
}

/** The number of entries that the sender sees, sent when a link opens and when it changes. */
export interface EntryCountNotice {
  readonly type: 'entryCount';
  readonly entryCount: number;
}

/** Asks for a retry out of the receiver's share of the budget of a service. */
export interface RetryLoanAsk {
  readonly type: 'retryLoanAsk';
  /** Unique for the sender's process. */
  readonly loanId: number;
  readonly service: string;
}

/** Answers whether the sender has counted the retry, so that the receiver may send it. */
export interface RetryLoanAnswer {
  readonly type: 'retryLoanAnswer';
  readonly loanId: number;
  readonly isGranted: boolean;
}

/** Demand of the callers of entries in a shortage; sent to entries that read it. */
export interface DemandNotice {
  readonly type: 'demand';
  readonly reports: readonly DemandReport[];
}

/** The sender can't serve all of its callers in time; sent to entries that read it. */
export interface SaturationNotice {
  readonly type: 'saturation';
  /** How long this counts unless it is sent again; 0 when the saturation is over. */
  readonly forMs: number;
}

/** A heartbeat. */
export interface Alive {
  readonly type: 'alive';
}

/** All messages between processes of the relay. */
export type PeerMessage =
  | Hello
  | Members
  | ConfigNotice
  | ConfigRequest
  | ConfigBody
  | ConfigPartRequest
  | ConfigPart
  | EngineLoadReport
  | LoadAsk
  | LoadRelease
  | RunStarted
  | RunEnded
  | MoveAsk
  | MoveGrant
  | MoveDone
  | CopyAsk
  | CopyAnswer
  | CopyDone
  | ZoneLoadNotice
  | EndpointDoubted
  | EndpointLimitNotice
  | ZoneStatusNotice
  | SuspicionNotice
  | RetryUseNotice
  | EntryCountNotice
  | RetryLoanAsk
  | RetryLoanAnswer
  | DemandNotice
  | SaturationNotice
  | Alive;

/** Validators by kind of field. */
const FIELD_CHECKS = {
  text: isText,
  flag: (value: unknown) => typeof value === 'boolean',
  count: (value: unknown) => Number.isFinite(value) && (value as number) >= 0,
  bytes: (value: unknown) => value instanceof Uint8Array,
  texts: (value: unknown) => Array.isArray(value) && value.every(isText),
  locations: (value: unknown) =>
    Array.isArray(value) && value.every(isEntryLocation),
  crashEnds: (value: unknown) =>
    Array.isArray(value) && value.every(isCrashEnd),
  demandReports: areDemandReports,
} as const;
type FieldKind = keyof typeof FIELD_CHECKS;

type FieldKinds = Readonly<Record<string, FieldKind>>;

const SUSPICION_FIELDS: FieldKinds = {
  fingerprint: 'text',
  ends: 'crashEnds',
  cleared: 'texts',
};

/** Required fields, by type of message. */
const REQUIRED_FIELDS: Readonly<Record<PeerMessage['type'], FieldKinds>> = {
  hello: {instance: 'text', role: 'text', zone: 'text'},
  members: {entries: 'locations', gone: 'texts', isZoned: 'flag'},
  configNotice: {version: 'count'},
  configRequest: {},
  configBody: {bytes: 'bytes'},
  configPartRequest: {version: 'count', offset: 'count'},
  configPart: {
    version: 'count',
    offset: 'count',
    totalBytes: 'count',
    bytes: 'bytes',
  },
  engineLoad: {
    queued: 'count',
    active: 'count',
    memoryUsedTokens: 'count',
    memoryTokens: 'count',
    promptBacklogTokens: 'count',
  },
  loadAsk: {requestId: 'text', promptTokens: 'count'},
  loadRelease: {requestId: 'text'},
  runStarted: {
    requestId: 'text',
    promptTokens: 'count',
    expectedOutputTokens: 'count',
  },
  runEnded: {requestId: 'text'},
  moveAsk: {requestId: 'text', gain: 'count'},
  moveGrant: {requestId: 'text'},
  moveDone: {requestId: 'text', isMoved: 'flag'},
  copyAsk: {requestId: 'text', tokens: 'count'},
  copyAnswer: {requestId: 'text', isFree: 'flag'},
  copyDone: {requestId: 'text'},
  zoneLoad: {
    service: 'text',
    zone: 'text',
    usedTokens: 'count',
    backlogTokens: 'count',
  },
  endpointDoubted: {endpointId: 'text', forMs: 'count'},
  endpointLimit: {
    endpointId: 'text',
    ageMs: 'count',
    version: 'count',
    origin: 'text',
  },
  zoneStatus: {zone: 'text', isEvacuated: 'flag', revision: 'count'},
  suspicion: SUSPICION_FIELDS,
  longSuspicion: SUSPICION_FIELDS,
  retryUse: {},
  formerRetryUse: {},
  entryCount: {entryCount: 'count'},
  retryLoanAsk: {loanId: 'count', service: 'text'},
  retryLoanAnswer: {loanId: 'count', isGranted: 'flag'},
  demand: {reports: 'demandReports'},
  saturation: {forMs: 'count'},
  alive: {},
};

/** Optional fields of any message, which are validated if present. */
const OPTIONAL_FIELDS: FieldKinds = {
  linkAddress: 'text',
  endpointAddress: 'text',
  leavesInMs: 'count',
  startedAtMs: 'count',
  perS: 'count',
  outputTokenMs: 'count',
  tellsPace: 'flag',
  enginePriority: 'count',
  urgentBacklogTokens: 'count',
  isForBalance: 'flag',
  readsTypes: 'texts',
};

/** Types that processes of earlier builds do not know: they close a link over one. */
const LATER_TYPES: ReadonlySet<PeerMessage['type']> = new Set([
  'demand',
  'moveAsk',
  'configPartRequest',
  'saturation',
  'longSuspicion',
  'entryCount',
  'retryLoanAsk',
  'retryLoanAnswer',
]);

/** False if the process would close the link over a message of this type. */
export function readsType(
  {readsTypes}: Hello,
  type: PeerMessage['type'],
): boolean {
  const isLater = LATER_TYPES.has(type);
  return !isLater || readsTypes?.includes(type) === true;
}

/** Validates a decoded frame; undefined if it is not a valid message. */
export function parsePeerMessage(value: unknown): PeerMessage | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const fields = value as Record<string, unknown>;
  const type = fields['type'] as PeerMessage['type'];
  if (typeof type !== 'string' || !Object.hasOwn(REQUIRED_FIELDS, type)) {
    return undefined;
  }
  for (const [name, kind] of Object.entries(REQUIRED_FIELDS[type])) {
    if (!FIELD_CHECKS[kind](fields[name])) return undefined;
  }
  for (const [name, kind] of Object.entries(OPTIONAL_FIELDS)) {
    const isPresent = fields[name] !== undefined && fields[name] !== null;
    if (isPresent && !FIELD_CHECKS[kind](fields[name])) return undefined;
  }
  return value as PeerMessage;
}

function isText(value: unknown): boolean {
  return typeof value === 'string';
}

function isEntryLocation(value: unknown): boolean {
  if (typeof value !== 'object' || value === null) return false;
  const {address, zone} = value as Partial<EntryLocation>;
  return isText(address) && isText(zone);
}
