import {
  KEY_UNOWNED_DETAIL,
  KEY_UNOWNED_RETRY_MS,
  slotOfKey,
} from '@lilacledge/policy';
import {
  FailureKind,
  mayHaveRun,
  mintTimeMs,
  notRun,
  Verdict,
} from '@lilacledge/shared';
import type {Failure} from '@lilacledge/shared';
import type {PlainAnswer, PlainCallRequest} from './callerRequest.js';
import type {EntryContext} from './entryContext.js';
import {selectPeer} from './selectPeer.js';
import type {OpenCall, SidecarPeer} from './sidecarPeer.js';

const MAX_ATTEMPTS = 3;

/** How long a keyed call waits for a lost link to reopen. */
const RECONNECT_TIMEOUT_MS = 8_000;

/** Retry delay that a caller gets with a failure. */
const RETRY_AFTER_MS = 1_000;

/**
 * Relays a call to a plain service: to any endpoint if it may be repeated,
 * otherwise to the endpoint that owns its idempotency key.
 */
export function relayCall(
  context: EntryContext,
  request: PlainCallRequest,
): Promise<PlainAnswer> {
  return request.key === ''
    ? relayRepeatableCall(context, request)
    : relayKeyedCall(context, request);
}

async function relayRepeatableCall(
  context: EntryContext,
  request: PlainCallRequest,
): Promise<PlainAnswer> {
  const tried = new Set<string>();
  let answer: PlainAnswer | undefined;
  context.retryBudget.noteRequest();
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    if (attempt > 0 && !context.retryBudget.tryTake()) break;
    const peer = selectPeer(
      context,
      request.requestId,
      request.route.serviceName,
      'leastOutstanding',
      {promptTokens: 0, expectedTokens: 0},
      [],
      tried,
    );
    if (peer === undefined) break;
    tried.add(peer.member.instanceId);
    answer = await callOnce(peer, request);
    if (answer.kind === 'answered') return answer;
    context.decisions.note(request.requestId, 'failed', answer.failure.detail);
  }
  return answer ?? {kind: 'failed', failure: noEndpointFailure(request)};
}

/**
 * Sends a keyed call to the one endpoint that owns its key. If the link is
 * lost, the call is sent again to the same incarnation, whose record of the key
 * prevents a second run. A new incarnation has no such record, so it never gets
 * the call.
 */
async function relayKeyedCall(
  context: EntryContext,
  request: PlainCallRequest,
): Promise<PlainAnswer> {
  const owner = findKeyOwner(context, request);
  if (owner.kind === 'failed') return owner;
  const {peer} = owner;
  const incarnation = peer.identity!.incarnation;
  context.decisions.note(
    request.requestId,
    'key owner',
    `${peer.member.instanceId} (${incarnation})`,
  );
  let answer = await callOnce(peer, request);
  for (let attempt = 1; attempt < MAX_ATTEMPTS; attempt++) {
    if (!isLinkLost(answer)) return answer;
    const isOpen = await peer.waitUntilOpen(RECONNECT_TIMEOUT_MS);
    if (!isOpen || peer.identity!.incarnation !== incarnation) return answer;
    context.decisions.note(request.requestId, 'asked again', 'link was lost');
    const nextAnswer = await callOnce(peer, request);
    answer = keepUncertainVerdict(answer, nextAnswer);
  }
  return answer;
}

type OwnerLookup =
  | {readonly kind: 'owner'; readonly peer: SidecarPeer}
  | {readonly kind: 'failed'; readonly failure: Failure};

function findKeyOwner(
  context: EntryContext,
  request: PlainCallRequest,
): OwnerLookup {
  const slot = slotOfKey(request.organisation.id, request.key);
  const mintedAtMs = mintTimeMs(request.key)!;
  const slotHolders = context.pool
    .ofService(request.route.serviceName)
    .filter((peer) => peer.isOpen)
    .flatMap((peer) => peer.grants.map((grant) => ({peer, grant})))
    .filter(({grant}) => grant.slot === slot);
  const owners = slotHolders.filter(
    ({grant}) =>
      grant.fromWallMs <= mintedAtMs && mintedAtMs < grant.untilWallMs,
  );
  if (owners.length > 1) {
    context.metrics.slotConflicts.inc();
    return {kind: 'failed', failure: conflictingOwnersFailure()};
  }
  // A key minted outside every interval goes to the current holder of its slot,
  // which decides from its own record.
  const chosen = owners[0] ?? slotHolders[0];
  if (chosen !== undefined) return {kind: 'owner', peer: chosen.peer};
  const failure = notRun(
    FailureKind.KEY_OWNER_UNAVAILABLE,
    KEY_UNOWNED_DETAIL,
    KEY_UNOWNED_RETRY_MS,
  );
  return {kind: 'failed', failure};
}

async function callOnce(
  peer: SidecarPeer,
  request: PlainCallRequest,
): Promise<PlainAnswer> {
  const call = peer.openCall();
  if (call === undefined) {
    return {kind: 'failed', failure: noEndpointFailure(request)};
  }
  const {requestId, method, path, contentType, body, key, traceparent} =
    request;
  call.send({
    type: 'call',
    callId: call.callId,
    requestId,
    organisationId: request.organisation.id,
    method,
    path,
    contentType,
    body,
    key,
    traceparent,
  });
  return awaitAnswer(call);
}

async function awaitAnswer(call: OpenCall): Promise<PlainAnswer> {
  try {
    for await (const message of call.messages) {
      if (message.type === 'failed') {
        return {kind: 'failed', failure: message.failure};
      }
      if (message.type === 'linkLost') {
        return {kind: 'failed', failure: linkLostFailure()};
      }
      if (message.type !== 'result') continue;
      const {status, contentType, body, isReplay} = message;
      return {kind: 'answered', status, contentType, body, isReplay};
    }
    return {kind: 'failed', failure: linkLostFailure()};
  } finally {
    call.close();
  }
}

function isLinkLost(answer: PlainAnswer): boolean {
  return (
    answer.kind === 'failed' && answer.failure.kind === FailureKind.LINK_LOST
  );
}

/**
 * If an earlier attempt may have run, a later refusal doesn't show that it
 * hasn't.
 */
function keepUncertainVerdict(
  earlier: PlainAnswer,
  later: PlainAnswer,
): PlainAnswer {
  if (later.kind === 'answered' || earlier.kind === 'answered') return later;
  if (earlier.failure.verdict !== Verdict.MAY_HAVE_RUN) return later;
  const failure = {...later.failure, verdict: Verdict.MAY_HAVE_RUN};
  return {kind: 'failed', failure};
}

function linkLostFailure(): Failure {
  return mayHaveRun(
    FailureKind.LINK_LOST,
    'the link was lost before the answer came',
    RETRY_AFTER_MS,
  );
}

function conflictingOwnersFailure(): Failure {
  return mayHaveRun(
    FailureKind.KEY_UNDECIDABLE,
    'two endpoints claim this key; it is not run until that is settled',
    RETRY_AFTER_MS,
  );
}

function noEndpointFailure(request: PlainCallRequest): Failure {
  return notRun(
    FailureKind.NO_ENDPOINT,
    `no endpoint of ${request.route.serviceName} takes new work`,
    RETRY_AFTER_MS,
  );
}
