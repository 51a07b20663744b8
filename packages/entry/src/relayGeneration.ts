import {estimateTokens, prefixBlocks} from '@lilacledge/policy';
import {createStreamTag, parseEventId} from '@lilacledge/protocol';
import type {EntryMessage} from '@lilacledge/protocol';
import {assertNever, FailureKind, mayHaveRun} from '@lilacledge/shared';
import type {Failure} from '@lilacledge/shared';
import type {
  GenerationRequest,
  ResumeRequest,
  StreamEvent,
} from './callerRequest.js';
import type {EntryContext} from './entryContext.js';
import {selectPeer} from './selectPeer.js';
import type {CallMessage, OpenCall, SidecarPeer} from './sidecarPeer.js';
import {
  goneGeneration,
  NO_ENDPOINT_RETRY_MS,
  noEndpoint,
  refusedResume,
  RETRYABLE,
  worse,
} from './streamFailures.js';

/** Events that a sidecar may send ahead of the caller's reading. */
const WINDOW_TOKENS = 512;

/** Credit is returned in steps of at least this many tokens. */
const CREDIT_STEP_TOKENS = 64;

/** How long a lost link may take to come back before the stream is ended. */
const RELINK_LIMIT_MS = 8_000;

const MAX_ATTEMPTS = 4;

/** Output expected of a request when its endpoint is chosen. */
const EXPECTED_OUTPUT_TOKENS = 256;

/** The generation that a stream is bound to. */
interface Binding {
  peer: SidecarPeer;
  incarnation: string;
  generationId: string;
  streamTag: string;
}

/** How the relay of one attempt ended. */
type AttemptEnd =
  | {readonly kind: 'final'}
  | {readonly kind: 'failed'; readonly failure: Failure};

/** The life of one caller's stream across attempts and links. */
interface StreamState {
  readonly requestId: string;
  readonly organisationId: string;
  readonly signal: AbortSignal;
  /** Whether the generation is kept for a caller that leaves. */
  readonly isResumable: boolean;
  /** Tokens that the caller has. */
  offset: number;
  binding: Binding | undefined;
}

/** Streams a new generation; tries elsewhere while nothing was delivered. */
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
  context.retries.noteRequest();
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    if (failure !== undefined && !mayRetry(context, state, failure)) break;
    const peer = choosePeer(context, request, tried);
    if (peer === undefined) {
      failure ??= noEndpoint(request.route.serviceName);
      break;
    }
    tried.add(peer.member.instanceId);
    const end = yield* attemptOnce(context, request, state, peer);
    if (end.kind === 'final') return;
    failure = worse(failure, end.failure);
    if (state.offset > 0) break;
  }
  if (signal.aborted) return;
  yield {type: 'failed', failure: failure!};
}

/** Goes on with a generation that a caller has read a part of. */
export async function* relayResume(
  context: EntryContext,
  request: ResumeRequest,
  signal: AbortSignal,
): AsyncGenerator<StreamEvent> {
  const point = parseEventId(context.settings.linkKey, request.eventId);
  if (point?.organisationId !== request.organisation.id) {
    yield {type: 'failed', failure: refusedResume('the event id is not yours')};
    return;
  }
  const peer = context.pool.find(point.instanceId);
  if (peer === undefined) {
    yield {type: 'failed', failure: goneGeneration()};
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
  const end = yield* followLinks(context, state, undefined);
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
  if (!RETRYABLE.has(failure.kind)) return false;
  // A drain refuses at once and without work, so going elsewhere is no load.
  if (failure.kind !== FailureKind.DRAINING && !context.retries.tryTake()) {
    return false;
  }
  context.metrics.retries.inc({cause: failure.kind});
  context.decisions.note(state.requestId, 'tried again', failure.detail);
  return true;
}

async function* attemptOnce(
  context: EntryContext,
  request: GenerationRequest,
  state: StreamState,
  peer: SidecarPeer,
): AsyncGenerator<StreamEvent, AttemptEnd> {
  const call = peer.openCall();
  if (call === undefined) {
    return {kind: 'failed', failure: noEndpoint(request.route.serviceName)};
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
    credit: WINDOW_TOKENS,
    maxQueueMs: request.maxQueueMs,
    traceparent: request.traceparent,
  });
  return yield* followLinks(context, state, {peer, call});
}

interface Attached {
  readonly peer: SidecarPeer;
  readonly call: OpenCall;
}

/**
 * Reads one generation over as many links as it takes. A link that is lost is
 * replaced by a new one to the same incarnation, from the caller's offset.
 */
async function* followLinks(
  context: EntryContext,
  state: StreamState,
  first: Attached | undefined,
): AsyncGenerator<StreamEvent, AttemptEnd> {
  let attached = first ?? (await reattach(context, state));
  while (attached !== undefined) {
    const end = yield* followCall(context, state, attached);
    if (end !== 'linkLost') return end;
    // With nothing delivered, another endpoint is quicker than a new link.
    if (state.offset === 0 || state.binding === undefined) break;
    context.metrics.resumes.inc({cause: 'link'});
    context.decisions.note(state.requestId, 'link lost', 'resuming');
    attached = await reattach(context, state);
  }
  const kind = FailureKind.LINK_LOST;
  const detail = 'the endpoint of this generation cannot be reached';
  return {
    kind: 'failed',
    failure: mayHaveRun(kind, detail, NO_ENDPOINT_RETRY_MS),
  };
}

async function reattach(
  context: EntryContext,
  state: StreamState,
): Promise<Attached | undefined> {
  const binding = state.binding!;
  const {peer} = binding;
  if (!(await peer.waitUntilOpen(RELINK_LIMIT_MS, state.signal))) {
    return undefined;
  }
  const incarnation = peer.identity!.incarnation;
  if (binding.incarnation !== '' && binding.incarnation !== incarnation) {
    return undefined;
  }
  const call = peer.openCall();
  if (call === undefined) return undefined;
  call.send({
    type: 'resume',
    callId: call.callId,
    generationId: binding.generationId,
    organisationId: state.organisationId,
    fromOffset: state.offset,
    credit: WINDOW_TOKENS,
  });
  return {peer, call};
}

async function* followCall(
  context: EntryContext,
  state: StreamState,
  {peer, call}: Attached,
): AsyncGenerator<StreamEvent, AttemptEnd | 'linkLost'> {
  const onAbort = (): void => call.messages.close();
  state.signal.addEventListener('abort', onAbort, {once: true});
  let isEnded = false;
  let spent = 0;
  try {
    for await (const message of call.messages) {
      const step = toStep(context, state, peer, message);
      isEnded = step.kind === 'end' || step.kind === 'linkLost';
      if (step.kind === 'linkLost') return 'linkLost';
      if (step.kind === 'none') continue;
      if (step.kind === 'end') {
        if (step.event !== undefined) yield step.event;
        return step.end;
      }
      yield step.event;
      spent += step.event.texts.length;
      if (spent < CREDIT_STEP_TOKENS) continue;
      call.send({type: 'credit', callId: call.callId, count: spent});
      spent = 0;
    }
    return {kind: 'final'};
  } finally {
    state.signal.removeEventListener('abort', onAbort);
    if (!isEnded) call.send(toCancel(call, state));
    call.close();
  }
}

type Step =
  | {readonly kind: 'none'}
  | {readonly kind: 'linkLost'}
  | {
      readonly kind: 'tokens';
      readonly event: Extract<StreamEvent, {type: 'tokens'}>;
    }
  | {
      readonly kind: 'end';
      readonly event?: StreamEvent;
      readonly end: AttemptEnd;
    };

/** What one message of the sidecar means for the caller. */
function toStep(
  context: EntryContext,
  state: StreamState,
  peer: SidecarPeer,
  message: CallMessage,
): Step {
  switch (message.type) {
    case 'accepted':
      state.binding = bind(context, state, peer, message.generationId);
      return {kind: 'none'};
    case 'tokens': {
      const {offset} = state;
      // The sidecar sends in order from the offset asked for; anything else
      // would double or lose a token.
      if (message.offset !== offset) {
        return failedStep('the stream lost its order');
      }
      state.offset += message.texts.length;
      const {streamTag} = state.binding!;
      const {texts} = message;
      return {
        kind: 'tokens',
        event: {type: 'tokens', offset, texts, streamTag},
      };
    }
    case 'done':
      if (message.offset !== state.offset) {
        return failedStep('the stream ended before its last token');
      }
      return {
        kind: 'end',
        event: {
          type: 'done',
          finishReason: message.finishReason,
          promptTokens: message.promptTokens,
          completionTokens: state.offset,
          streamTag: state.binding!.streamTag,
        },
        end: {kind: 'final'},
      };
    case 'failed':
      return {kind: 'end', end: {kind: 'failed', failure: message.failure}};
    case 'linkLost':
      return {kind: 'linkLost'};
    case 'result':
      return failedStep('an answer of another kind');
    default:
      return assertNever(message);
  }
}

function bind(
  context: EntryContext,
  state: StreamState,
  peer: SidecarPeer,
  generationId: string,
): Binding {
  const {instanceId} = peer.member;
  const {organisationId} = state;
  return {
    peer,
    incarnation: peer.identity!.incarnation,
    generationId,
    streamTag: createStreamTag(context.settings.linkKey, {
      organisationId,
      instanceId,
      generationId,
    }),
  };
}

function toCancel(call: OpenCall, state: StreamState): EntryMessage {
  const abandon = !state.isResumable || !state.signal.aborted;
  return {type: 'cancel', callId: call.callId, abandon};
}

function failedStep(detail: string): Step {
  const failure = mayHaveRun(FailureKind.ENDPOINT_FAILED, detail);
  return {kind: 'end', end: {kind: 'failed', failure}};
}
