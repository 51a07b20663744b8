import type {DemandReport} from '@lilacledge/policy';
import type {
  ConfigBody,
  ConfigNotice,
  ConfigPart,
  ConfigPartRequest,
  ConfigRequest,
} from './configMessages.js';
import {areDemandReports} from './demandMessage.js';
import type {
  CopyAnswer,
  CopyAsk,
  CopyDone,
  EngineLoadReport,
  LoadAsk,
  LoadRelease,
  MoveAsk,
  MoveDone,
  MoveGrant,
  RunEnded,
  RunStarted,
} from './engineMessages.js';
import type {
  EntryCountNotice,
  RetryLoanAnswer,
  RetryLoanAsk,
  RetryLoanSettled,
  RetryUseNotice,
} from './retryMessages.js';
import type {
  EndpointDoubted,
  EndpointLimitNotice,
  SuspicionNotice,
  ZoneLoadNotice,
  ZoneStatusNotice,
} from './stateMessages.js';
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
  | RetryLoanSettled
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
  retryLoanSettled: {loanId: 'count', inMs: 'count'},
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
  'retryLoanSettled',
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
