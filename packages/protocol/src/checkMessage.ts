import {isFailureKind, isVerdict} from '@lilacledge/shared';
import type {Message, MessageType} from './messages.js';
import {SidecarState} from './messages.js';

type Check = (value: unknown) => boolean;
type Shape = Readonly<Record<string, Check>>;

/** Longest text of a name, an id or a key in a message. */
const MAX_NAME_LENGTH = 512;

const isText: Check = (value) => typeof value === 'string';
const isName: Check = (value) =>
  typeof value === 'string' && value.length <= MAX_NAME_LENGTH;
const isBoolean: Check = (value) => typeof value === 'boolean';
const isCount: Check = (value) =>
  Number.isSafeInteger(value) && (value as number) >= 0;
const isAmount: Check = (value) =>
  typeof value === 'number' && value >= 0 && Number.isFinite(value);
const isBytes: Check = (value) => value instanceof Uint8Array;
const isTexts: Check = (value) => Array.isArray(value) && value.every(isText);

function hasShape(shape: Shape): Check {
  const checks = Object.entries(shape);
  return (value) => {
    if (typeof value !== 'object' || value === null) return false;
    const fields = value as Record<string, unknown>;
    return checks.every(([field, check]) => check(fields[field]));
  };
}

const isOptionalAmount: Check = (value) => value == null || isAmount(value);

const isFailure = hasShape({
  kind: isFailureKind,
  verdict: isVerdict,
  detail: isText,
  retryAfterMs: isOptionalAmount,
});

const isGrant = hasShape({
  slot: isCount,
  fromWallMs: isCount,
  untilWallMs: isCount,
});

const isLoad = hasShape({
  state: (value) =>
    value === SidecarState.SERVING || value === SidecarState.DRAINING,
  queued: isCount,
  running: isCount,
  backlogTokens: isAmount,
  memoryShare: isAmount,
  predictedWaitMs: isAmount,
  tokenMs: isAmount,
  maxBatch: isCount,
});

const isNames: Check = (value) =>
  typeof value === 'object' &&
  value !== null &&
  Object.values(value).every(isName);

const isWrite = hasShape({
  id: isName,
  revision: isCount,
  author: isName,
  atWallMs: isAmount,
});

const SHAPES: Readonly<Record<MessageType, Shape>> = {
  challenge: {version: isCount, nonce: isName},
  hello: {
    version: isCount,
    instanceId: isName,
    zone: isName,
    nonce: isName,
    proof: isName,
  },
  welcome: {
    instanceId: isName,
    incarnation: isName,
    service: isName,
    zone: isName,
    proof: isName,
  },
  submit: {
    callId: isCount,
    requestId: isName,
    organisationId: isName,
    priority: isCount,
    model: isName,
    prompt: isText,
    promptTokens: isCount,
    maxTokens: isCount,
    credit: isCount,
    maxQueueMs: isAmount,
    traceparent: isName,
  },
  resume: {
    callId: isCount,
    generationId: isName,
    organisationId: isName,
    fromOffset: isCount,
    credit: isCount,
  },
  call: {
    callId: isCount,
    requestId: isName,
    organisationId: isName,
    method: isName,
    path: isText,
    contentType: isName,
    body: isBytes,
    key: isName,
    traceparent: isName,
  },
  credit: {callId: isCount, count: isCount},
  cancel: {callId: isCount, abandon: isBoolean},
  ping: {sequence: isCount, revision: isCount},
  pong: {sequence: isCount, revision: isCount},
  accepted: {callId: isCount, generationId: isName},
  tokens: {callId: isCount, offset: isCount, texts: isTexts},
  done: {
    callId: isCount,
    offset: isCount,
    finishReason: isName,
    promptTokens: isCount,
  },
  failed: {callId: isCount, failure: isFailure},
  result: {
    callId: isCount,
    status: isCount,
    contentType: isName,
    body: isBytes,
    isReplay: isBoolean,
  },
  report: {load: isLoad},
  slots: {
    grants: (value) => Array.isArray(value) && value.every(isGrant),
  },
  drain: {reason: isName},
  configOffer: {revision: isCount},
  configRequest: {knownRevision: isCount},
  configTransfer: {
    baseRevision: isCount,
    revision: isCount,
    parts: isNames,
    removedParts: isTexts,
    writes: (value) => Array.isArray(value) && value.every(isWrite),
    texts: isTexts,
  },
};

const CHECKS = new Map<unknown, Check>(
  Object.entries(SHAPES).map(([type, shape]) => [type, hasShape(shape)]),
);

/** Checks a decoded frame; undefined when it is no message of this version. */
export function toMessage(decoded: unknown): Message | undefined {
  if (typeof decoded !== 'object' || decoded === null) return undefined;
  const check = CHECKS.get((decoded as {type?: unknown}).type);
  if (check === undefined || !check(decoded)) return undefined;
  return decoded as Message;
}
