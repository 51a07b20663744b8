import {isFailureKind, isVerdict} from '@lilacledge/shared';
import type {Message, MessageType} from './messages.js';
import {SidecarState} from './messages.js';

type Validator = (value: unknown) => boolean;
type FieldValidators = Readonly<Record<string, Validator>>;

/** Limit for names, ids and keys in messages; a process closes a link over a longer one. */
export const MAX_SHORT_STRING_LENGTH = 512;

const isString: Validator = (value) => typeof value === 'string';
const isShortString: Validator = (value) =>
  typeof value === 'string' && value.length <= MAX_SHORT_STRING_LENGTH;
const isBoolean: Validator = (value) => typeof value === 'boolean';
const isNonNegativeInteger: Validator = (value) =>
  Number.isSafeInteger(value) && (value as number) >= 0;
const isNonNegativeNumber: Validator = (value) =>
  typeof value === 'number' && value >= 0 && Number.isFinite(value);
const isBytes: Validator = (value) => value instanceof Uint8Array;
const isStringArray: Validator = (value) =>
  Array.isArray(value) && value.every(isString);

function hasFields(shape: FieldValidators): Validator {
  const checks = Object.entries(shape);
  return (value) => {
    if (typeof value !== 'object' || value === null) return false;
    const fields = value as Record<string, unknown>;
    return checks.every(([field, check]) => check(fields[field]));
  };
}

const isOptionalNonNegativeNumber: Validator = (value) =>
  value == null || isNonNegativeNumber(value);

const isFailure = hasFields({
  kind: isFailureKind,
  verdict: isVerdict,
  detail: isString,
  retryAfterMs: isOptionalNonNegativeNumber,
});

const isGrant = hasFields({
  slot: isNonNegativeInteger,
  fromWallMs: isNonNegativeInteger,
  untilWallMs: isNonNegativeInteger,
});

const isLoad = hasFields({
  state: (value) =>
    value === SidecarState.SERVING || value === SidecarState.DRAINING,
  queued: isNonNegativeInteger,
  running: isNonNegativeInteger,
  backlogTokens: isNonNegativeNumber,
  memoryShare: isNonNegativeNumber,
  predictedWaitMs: isNonNegativeNumber,
  tokenMs: isNonNegativeNumber,
  maxBatch: isNonNegativeInteger,
});

const isShortStringRecord: Validator = (value) =>
  typeof value === 'object' &&
  value !== null &&
  Object.values(value).every(isShortString);

const isWrite = hasFields({
  id: isShortString,
  revision: isNonNegativeInteger,
  author: isShortString,
  atWallMs: isNonNegativeNumber,
});

const MESSAGE_FIELDS: Readonly<Record<MessageType, FieldValidators>> = {
  challenge: {version: isNonNegativeInteger, nonce: isShortString},
  hello: {
    version: isNonNegativeInteger,
    instanceId: isShortString,
    zone: isShortString,
    nonce: isShortString,
    proof: isShortString,
  },
  welcome: {
    instanceId: isShortString,
    incarnation: isShortString,
    service: isShortString,
    zone: isShortString,
    proof: isShortString,
  },
  submit: {
    callId: isNonNegativeInteger,
    requestId: isShortString,
    organisationId: isShortString,
    priority: isNonNegativeInteger,
    model: isShortString,
    prompt: isString,
    promptTokens: isNonNegativeInteger,
    maxTokens: isNonNegativeInteger,
    credit: isNonNegativeInteger,
    maxQueueMs: isNonNegativeNumber,
    traceparent: isShortString,
  },
  resume: {
    callId: isNonNegativeInteger,
    generationId: isShortString,
    organisationId: isShortString,
    fromOffset: isNonNegativeInteger,
    credit: isNonNegativeInteger,
  },
  call: {
    callId: isNonNegativeInteger,
    requestId: isShortString,
    organisationId: isShortString,
    method: isShortString,
    path: isString,
    contentType: isShortString,
    body: isBytes,
    key: isShortString,
    traceparent: isShortString,
  },
  credit: {callId: isNonNegativeInteger, count: isNonNegativeInteger},
  cancel: {callId: isNonNegativeInteger, abandon: isBoolean},
  ping: {sequence: isNonNegativeInteger, revision: isNonNegativeInteger},
  pong: {sequence: isNonNegativeInteger, revision: isNonNegativeInteger},
  accepted: {callId: isNonNegativeInteger, generationId: isShortString},
  tokens: {
    callId: isNonNegativeInteger,
    offset: isNonNegativeInteger,
    texts: isStringArray,
  },
  done: {
    callId: isNonNegativeInteger,
    offset: isNonNegativeInteger,
    finishReason: isShortString,
    promptTokens: isNonNegativeInteger,
  },
  failed: {callId: isNonNegativeInteger, failure: isFailure},
  result: {
    callId: isNonNegativeInteger,
    status: isNonNegativeInteger,
    contentType: isShortString,
    body: isBytes,
    isReplay: isBoolean,
  },
  report: {load: isLoad},
  slots: {
    grants: (value) => Array.isArray(value) && value.every(isGrant),
  },
  drain: {reason: isShortString},
  configOffer: {revision: isNonNegativeInteger},
  configRequest: {knownRevision: isNonNegativeInteger},
  configTransfer: {
    baseRevision: isNonNegativeInteger,
    revision: isNonNegativeInteger,
    parts: isShortStringRecord,
    removedParts: isStringArray,
    writes: (value) => Array.isArray(value) && value.every(isWrite),
    texts: isStringArray,
  },
};

const MESSAGE_VALIDATORS = new Map<unknown, Validator>(
  Object.entries(MESSAGE_FIELDS).map(([type, shape]) => [
    type,
    hasFields(shape),
  ]),
);

/** Validates a decoded frame; undefined if it is not a message of this protocol version. */
export function parseMessage(decoded: unknown): Message | undefined {
  if (typeof decoded !== 'object' || decoded === null) return undefined;
  const check = MESSAGE_VALIDATORS.get((decoded as {type?: unknown}).type);
  if (check === undefined || !check(decoded)) return undefined;
  return decoded as Message;
}
