import {estimateTokens, prefixBlocks} from '@lilacledge/policy';
import {createStreamTag, parseEventId} from '@lilacledge/protocol';
import {FailureKind} from '@lilacledge/shared';
import type {Failure} from '@lilacledge/shared';
import type {
  GenerationRequest,
  ResumeRequest,
  StreamEvent,
} from './callerRequest.js';
import type {EntryContext} from './entryContext.js';
import {selectPeer} from './selectPeer.js';
import {CREDIT_WINDOW_TOKENS, relayAcrossLinks} from './relayAcrossLinks.js';
import type {SidecarPeer} from './sidecarPeer.js';
import {
  endpointGoneFailure,
  noEndpointFailure,
  resumeRefusedFailure,
  RETRYABLE_FAILURES,
  keepUncertainVerdict,
} from './streamFailures.js';
import type {AttemptEnd, StreamState} from './streamState.js';

const MAX_ATTEMPTS = 4;

/** Output length assumed for a request when its endpoint is chosen. */
const EXPECTED_OUTPUT_TOKENS = 256;

/**
 * Streams a new generation; tries other endpoints while no token was delivered.
 */
export async function* relayGeneration(
  context: EntryContext,
  request: GenerationRequest,
  signal: AbortSignal,
): AsyncGenerator<StreamEvent> {
  const state: StreamState = {
    requestId: request.requestId,
    organisationId: request.organisation.id,
    signal,
    isResumable: request.isResumable,
    offset: 0,
    binding: undefined,
  };
  const tried = new Set<string>();
  let failure: Failure | undefined;
  context.retryBudget.noteRequest();
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    if (failure !== undefined && !mayRetry(context, state, failure)) break;
    const peer = choosePeer(context, request, tried);
    if (peer === undefined) {
      failure ??= noEndpointFailure(request.route.serviceName);
      break;
    }
    tried.add(peer.member.instanceId);
    const end = yield* relayAttempt(context, request, state, peer);
    if (end.kind === 'final') return;
    failure = keepUncertainVerdict(failure, end.failure);
    if (state.offset > 0) break;
  }
  if (signal.aborted) return;
  yield {type: 'failed', failure: failure!};
}

/** Resumes a generation after the last event that the caller received. */
export async function* relayResume(
  context: EntryContext,
  request: ResumeRequest,
  signal: AbortSignal,
): AsyncGenerator<StreamEvent> {
  const point = parseEventId(context.settings.linkKey, request.eventId);
  if (point?.organisationId !== request.organisation.id) {
    yield {
      type: 'failed',
      failure: resumeRefusedFailure('the event id is not yours'),
    };
    return;
  }
  const peer = context.pool.find(point.instanceId);
  if (peer === undefined) {
    yield {type: 'failed', failure: endpointGoneFailure()};
    return;
  }
  const state: StreamState = {
    requestId: request.requestId,
    organisationId: request.organisation.id,
    signal,
    isResumable: true,
    offset: point.offset,
    binding: {
      peer,
      incarnation: '',
      generationId: point.generationId,
      streamTag: createStreamTag(context.settings.linkKey, point),
    },
  };
  context.metrics.resumes.inc({cause: 'caller'});
  const end = yield* relayAcrossLinks(context, state, undefined);
  if (end.kind === 'failed' && !signal.aborted) {
    yield {type: 'failed', failure: end.failure};
  }
}

function choosePeer(
  context: EntryContext,
  request: GenerationRequest,
  tried: ReadonlySet<string>,
): SidecarPeer | undefined {
  const {serviceName, service} = request.route;
  return selectPeer(
    context,
    request.requestId,
    serviceName,
    service.policy.route,
    {
      promptTokens: estimateTokens(request.prompt),
      expectedTokens: Math.min(request.maxTokens, EXPECTED_OUTPUT_TOKENS),
    },
    prefixBlocks(request.prompt),
    tried,
  );
}

function mayRetry(
  context: EntryContext,
  state: StreamState,
  failure: Failure,
): boolean {
  if (state.signal.aborted || state.offset > 0) return false;
  if (!RETRYABLE_FAILURES.has(failure.kind)) return false;
  // A draining endpoint refuses at once without doing work, so this retry adds
  // no load and needs no budget.
  if (failure.kind !== FailureKind.DRAINING && !context.retryBudget.tryTake()) {
    return false;
  }
  context.metrics.retries.inc({cause: failure.kind});
  context.decisions.note(state.requestId, 'tried again', failure.detail);
  return true;
}

async function* relayAttempt(
  context: EntryContext,
  request: GenerationRequest,
  state: StreamState,
  peer: SidecarPeer,
): AsyncGenerator<StreamEvent, AttemptEnd> {
  const call = peer.openCall();
  if (call === undefined) {
    return {
      kind: 'failed',
      failure: noEndpointFailure(request.route.serviceName),
    };
  }
  const promptTokens = estimateTokens(request.prompt);
  state.binding = undefined;
  peer.unreportedTokens += promptTokens + EXPECTED_OUTPUT_TOKENS;
  call.send({
    type: 'submit',
    callId: call.callId,
    requestId: request.requestId,
    organisationId: request.organisation.id,
    priority: request.organisation.priority,
    model: request.route.model,
    prompt: request.prompt,
    promptTokens,
    maxTokens: request.maxTokens,
    credit: CREDIT_WINDOW_TOKENS,
    maxQueueMs: request.maxQueueMs,
    traceparent: request.traceparent,
  });
  return yield* relayAcrossLinks(context, state, {peer, call});
}
