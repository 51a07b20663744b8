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
const RELINK_LIMIT_MS = 8_000;
const RETRY_MS = 1_000;

/** Calls a plain service: freely when it may be repeated, else by its key. */
export function relayCall(
  context: EntryContext,
  request: PlainCallRequest,
): Promise<PlainAnswer> {
  return request.key === ''
    ? relayFreeCall(context, request)
    : relayKeyedCall(context, request);
}

async function relayFreeCall(
  context: EntryContext,
  request: PlainCallRequest,
): Promise<PlainAnswer> {
  const tried = new Set<string>();
  let answer: PlainAnswer | undefined;
  context.retries.noteRequest();
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    if (attempt > 0 && !context.retries.tryTake()) break;
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
  return answer ?? {kind: 'failed', failure: noEndpoint(request)};
}

/**
 * A keyed call goes to the one endpoint that owns its key. When the link is
 * lost on the way, the same incarnation is asked again with the same key: its
 * record answers without a second run. A new incarnation is never asked.
 */
async function relayKeyedCall(
  context: EntryContext,
  request: PlainCallRequest,
): Promise<PlainAnswer> {
  const owner = findOwner(context, request);
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
    const isBack = await peer.waitUntilOpen(RELINK_LIMIT_MS);
    if (!isBack || peer.identity!.incarnation !== incarnation) return answer;
    context.decisions.note(request.requestId, 'asked again', 'link was lost');
    const again = await callOnce(peer, request);
    answer = keepDoubt(answer, again);
  }
  return answer;
}

type Owner =
  | {readonly kind: 'owner'; readonly peer: SidecarPeer}
  | {readonly kind: 'failed'; readonly failure: Failure};

function findOwner(context: EntryContext, request: PlainCallRequest): Owner {
  const slot = slotOfKey(request.organisation.id, request.key);
  const mintedMs = mintTimeMs(request.key)!;
  const holders = context.pool
    .ofService(request.route.serviceName)
    .filter((peer) => peer.isOpen)
    .flatMap((peer) => peer.grants.map((grant) => ({peer, grant})))
    .filter(({grant}) => grant.slot === slot);
  const owners = holders.filter(
    ({grant}) => grant.fromWallMs <= mintedMs && mintedMs < grant.untilWallMs,
  );
  if (owners.length > 1) {
    context.metrics.slotConflicts.inc();
    return {kind: 'failed', failure: conflictingOwners()};
  }
  // An old key is shown to the present owner, which knows what to say of it.
  const chosen = owners[0] ?? holders[0];
  if (chosen !== undefined) return {kind: 'owner', peer: chosen.peer};
  const failure = notRun(
    FailureKind.KEY_HOME_UNAVAILABLE,
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
    return {kind: 'failed', failure: noEndpoint(request)};
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
        return {kind: 'failed', failure: lostLink()};
      }
      if (message.type !== 'result') continue;
      const {status, contentType, body, isReplay} = message;
      return {kind: 'answered', status, contentType, body, isReplay};
    }
    return {kind: 'failed', failure: lostLink()};
  } finally {
    call.close();
  }
}

function isLinkLost(answer: PlainAnswer): boolean {
  return (
    answer.kind === 'failed' && answer.failure.kind === FailureKind.LINK_LOST
  );
}

/** An earlier try may have run, so a later refusal proves nothing of it. */
function keepDoubt(earlier: PlainAnswer, later: PlainAnswer): PlainAnswer {
  if (later.kind === 'answered' || earlier.kind === 'answered') return later;
  if (earlier.failure.verdict !== Verdict.MAY_HAVE_RUN) return later;
  const failure = {...later.failure, verdict: Verdict.MAY_HAVE_RUN};
  return {kind: 'failed', failure};
}

function lostLink(): Failure {
  return mayHaveRun(
    FailureKind.LINK_LOST,
    'the link was lost before the answer came',
    RETRY_MS,
  );
}

function conflictingOwners(): Failure {
  return mayHaveRun(
    FailureKind.KEY_UNDECIDABLE,
    'two endpoints claim this key; it is not run until that is settled',
    RETRY_MS,
  );
}

function noEndpoint(request: PlainCallRequest): Failure {
  return notRun(
    FailureKind.NO_ENDPOINT,
    `no endpoint of ${request.route.serviceName} takes new work`,
    RETRY_MS,
  );
}
