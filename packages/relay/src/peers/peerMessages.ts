import type {
  FormerUse,
  Suspicion,
  ToldLimit,
  ToldUse,
} from '@lilacledge/policy';
import type {ZoneStatus} from '../endpoints/zoneEvacuations.js';
import type {ZoneLoad} from '../endpoints/zoneLoads.js';
import {isRetryUse} from './retryUseMessage.js';
import {isCrashEnd} from './suspicionMessage.js';

/** What a process does in the deployment. */
export const PeerRole = {ENTRY: 'entry', SIDECAR: 'sidecar'} as const;
export type PeerRole = (typeof PeerRole)[keyof typeof PeerRole];

/** First message of each side of a link. */
export interface Hello {
  readonly type: 'hello';
  readonly instance: string;
  readonly role: PeerRole;
  /** Availability zone of the sender. */
  readonly zone: string;
  /** Address that others reach the sender at; only entries have one. */
  readonly linkAddress?: string;
  /** Address of the endpoint beside the sender; only sidecars have one. */
  readonly endpointAddress?: string;
}

/** Where an entry can be reached. */
export interface EntryPlace {
  readonly address: string;
  readonly zone: string;
}

/** Entries that came or went since the sender told of them last. */
export interface Members {
  readonly type: 'members';
  readonly entries: readonly EntryPlace[];
  /** Addresses of entries whose registrations are gone. */
  readonly gone: readonly string[];
  /** True where a sidecar should link to entries of its own zone only. */
  readonly isZoned: boolean;
}

/** The sender has this version of the configuration in force. */
export interface ConfigNotice {
  readonly type: 'configNotice';
  readonly version: number;
}

/** Asks for the configuration that a notice told of. */
export interface ConfigRequest {
  readonly type: 'configRequest';
}

/** A configuration as the store holds it. */
export interface ConfigBody {
  readonly type: 'configBody';
  readonly bytes: Uint8Array;
}

/** Load of the engine beside a sidecar, as of now. */
export interface EngineLoadReport {
  readonly type: 'engineLoad';
  readonly queued: number;
  readonly active: number;
  readonly memoryUsedTokens: number;
  readonly memoryTokens: number;
  /** Prompt tokens of all entries' requests that are not read yet. */
  readonly promptBacklogTokens: number;
  /** Time until the engine is gone; undefined while it stays. */
  readonly leavesInMs?: number;
  /** Unix time of the engine's start; undefined if it does not tell. */
  readonly startedAtMs?: number;
}

/**
 * Asks for the load of the receiver's engine as of now, for a prompt that may be sent
 * there: until the sender says where it goes, the receiver counts it for others.
 */
export interface LoadAsk {
  readonly type: 'loadAsk';
  readonly requestId: string;
  readonly promptTokens: number;
}

/** A prompt that was asked for goes to another engine, or waits on. */
export interface LoadRelease {
  readonly type: 'loadRelease';
  readonly requestId: string;
}

/** The sender carries the stream of a run at the receiver's engine. */
export interface RunStarted {
  readonly type: 'runStarted';
  readonly requestId: string;
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  /** Unix time of the engine's start, as the sender knows it. */
  readonly startedAtMs?: number;
}

/** The run has left the receiver's engine or has ended. */
export interface RunEnded {
  readonly type: 'runEnded';
  readonly requestId: string;
}

/** The engine's link is free for this run: the receiver should move it. */
export interface MoveGrant {
  readonly type: 'moveGrant';
  readonly requestId: string;
}

/** The receiver's grant was used, or cannot be. */
export interface MoveDone {
  readonly type: 'moveDone';
  readonly requestId: string;
  readonly isMoved: boolean;
}

/** Asks whether a run may be copied to the receiver's engine now. */
export interface CopyAsk {
  readonly type: 'copyAsk';
  readonly requestId: string;
  readonly tokens: number;
}

/** Whether the engine's link and memory are free for the copy. */
export interface CopyAnswer {
  readonly type: 'copyAnswer';
  readonly requestId: string;
  readonly isFree: boolean;
}

/** The copy that was asked for is complete, or will not be made. */
export interface CopyDone {
  readonly type: 'copyDone';
  readonly requestId: string;
}

/** Mean load of the engines that report to the sender. */
export interface ZoneLoadNotice extends ZoneLoad {
  readonly type: 'zoneLoad';
}

/** The sender avoids an endpoint that refused or failed its requests. */
export interface EndpointDoubted {
  readonly type: 'endpointDoubted';
  readonly endpointId: string;
  /** Unix time of the start of the life that is avoided. */
  readonly startedAtMs?: number;
  /** How long it is avoided from now on. */
  readonly forMs: number;
}

/** What the sender heard of the rate that an endpoint names in its answers. */
export interface EndpointLimitNotice extends ToldLimit {
  readonly type: 'endpointLimit';
  readonly endpointId: string;
  /** Unix time of the start of the life that names it. */
  readonly startedAtMs?: number;
}

/** What the sender knows of an availability zone. */
export interface ZoneStatusNotice extends ZoneStatus {
  readonly type: 'zoneStatus';
}

/** What the sender knows of a request under which endpoints have ended. */
export interface SuspicionNotice extends Suspicion {
  readonly type: 'suspicion';
}

/** What the sender was asked for and repeated; over each link first all of it. */
export interface RetryUseNotice extends ToldUse {
  readonly type: 'retryUse';
}

/** What the sender remembers of the former lives of the receiver. */
export interface FormerRetryUse extends FormerUse {
  readonly type: 'formerRetryUse';
}

/** Nothing but a sign of life. */
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
  | EngineLoadReport
  | LoadAsk
  | LoadRelease
  | RunStarted
  | RunEnded
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
  | FormerRetryUse
  | Alive;

/** What a field of a message may hold. */
const FIELD_CHECKS = {
  text: isText,
  flag: (value: unknown) => typeof value === 'boolean',
  count: (value: unknown) => Number.isFinite(value) && (value as number) >= 0,
  bytes: (value: unknown) => value instanceof Uint8Array,
  texts: (value: unknown) => Array.isArray(value) && value.every(isText),
  places: (value: unknown) => Array.isArray(value) && value.every(isPlace),
  crashEnds: (value: unknown) =>
    Array.isArray(value) && value.every(isCrashEnd),
  retryUses: (value: unknown) =>
    Array.isArray(value) && value.every(isRetryUse),
} as const;
type FieldKind = keyof typeof FIELD_CHECKS;

type FieldKinds = Readonly<Record<string, FieldKind>>;

/** Fields that must be there, for each kind of message. */
const REQUIRED: Readonly<Record<PeerMessage['type'], FieldKinds>> = {
  hello: {instance: 'text', role: 'text', zone: 'text'},
  members: {entries: 'places', gone: 'texts', isZoned: 'flag'},
  configNotice: {version: 'count'},
  configRequest: {},
  configBody: {bytes: 'bytes'},
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
  suspicion: {fingerprint: 'text', ends: 'crashEnds', cleared: 'texts'},
  retryUse: {life: 'text', isComplete: 'flag', uses: 'retryUses'},
  formerRetryUse: {
    heardAgoMs: 'count',
    entryCount: 'count',
    isComplete: 'flag',
    uses: 'retryUses',
  },
  alive: {},
};

/** Fields that may be missing; where they are there, they are checked. */
const OPTIONAL: FieldKinds = {
  linkAddress: 'text',
  endpointAddress: 'text',
  leavesInMs: 'count',
  startedAtMs: 'count',
  perS: 'count',
};

/** Checks a decoded frame; undefined when it is no message of ours. */
export function toPeerMessage(value: unknown): PeerMessage | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const fields = value as Record<string, unknown>;
  const type = fields['type'] as PeerMessage['type'];
  if (typeof type !== 'string' || !Object.hasOwn(REQUIRED, type)) {
    return undefined;
  }
  for (const [name, kind] of Object.entries(REQUIRED[type])) {
    if (!FIELD_CHECKS[kind](fields[name])) return undefined;
  }
  for (const [name, kind] of Object.entries(OPTIONAL)) {
    const isThere = fields[name] !== undefined && fields[name] !== null;
    if (isThere && !FIELD_CHECKS[kind](fields[name])) return undefined;
  }
  return value as PeerMessage;
}

function isText(value: unknown): boolean {
  return typeof value === 'string';
}

function isPlace(value: unknown): boolean {
  if (typeof value !== 'object' || value === null) return false;
  const {address, zone} = value as Partial<EntryPlace>;
  return isText(address) && isText(zone);
}
