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
  endpointGoneFailure,
  NO_ENDPOINT_RETRY_AFTER_MS,
  noEndpointFailure,
  resumeRefusedFailure,
  RETRYABLE_FAILURES,
  keepUncertainVerdict,
} from './streamFailures.js';

/** Tokens that a sidecar may send before the caller has read them. */
const CREDIT_WINDOW_TOKENS = 512;

/** Credit is returned once at least this many tokens were read. */
const MIN_CREDIT_TOKENS = 64;

/** How long a stream waits for a lost link to reopen before it fails. */
const RECONNECT_TIMEOUT_MS = 8_000;

const MAX_ATTEMPTS = 4;

/** Output length assumed for a request when its endpoint is chosen. */
const EXPECTED_OUTPUT_TOKENS = 256;

/** The generation that a stream reads, and the sidecar that runs it. */
interface GenerationBinding {
  peer: SidecarPeer;
  incarnation: string;
  generationId: string;
  streamTag: string;
}

/**
 * How one attempt ended; `final` means that nothing more is to be sent to the
 * caller.
 */
type AttemptEnd =
  | {readonly kind: 'final'}
  | {readonly kind: 'failed'; readonly failure: Failure};

/** State of one caller's stream across attempts and links. */
interface StreamState {
  readonly requestId: string;
  readonly organisationId: string;
  readonly signal: AbortSignal;
  /** Whether the generation is kept when the caller disconnects. */
  readonly isResumable: boolean;
  /** Number of tokens passed on to the caller. */
  offset: number;
  binding: GenerationBinding | undefined;
}

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

/** An open call that delivers the events of a generation. */
interface AttachedCall {
  readonly peer: SidecarPeer;
  readonly call: OpenCall;
}

/**
 * Relays one generation across lost links: when the link to the same
 * incarnation reopens, the generation is resumed from the caller's offset.
 */
async function* relayAcrossLinks(
  context: EntryContext,
  state: StreamState,
  first: AttachedCall | undefined,
): AsyncGenerator<StreamEvent, AttemptEnd> {
  let attached = first ?? (await reattach(context, state));
  while (attached !== undefined) {
    const end = yield* relayCallMessages(context, state, attached);
    if (end !== 'linkLost') return end;
    // While no token was delivered, another endpoint is faster than waiting for
    // the link.
    if (state.offset === 0 || state.binding === undefined) break;
    context.metrics.resumes.inc({cause: 'link'});
    context.decisions.note(state.requestId, 'link lost', 'resuming');
    attached = await reattach(context, state);
  }
  const kind = FailureKind.LINK_LOST;
  const detail = 'the endpoint of this generation cannot be reached';
  return {
    kind: 'failed',
    failure: mayHaveRun(kind, detail, NO_ENDPOINT_RETRY_AFTER_MS),
  };
}

/**
 * Waits for the link and resumes the generation; undefined if its incarnation
 * is gone.
 */
async function reattach(
  context: EntryContext,
  state: StreamState,
): Promise<AttachedCall | undefined> {
  const binding = state.binding!;
  const {peer} = binding;
  if (!(await peer.waitUntilOpen(RECONNECT_TIMEOUT_MS, state.signal))) {
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
    credit: CREDIT_WINDOW_TOKENS,
  });
  return {peer, call};
}

async function* relayCallMessages(
  context: EntryContext,
  state: StreamState,
  {peer, call}: AttachedCall,
): AsyncGenerator<StreamEvent, AttemptEnd | 'linkLost'> {
  const onAbort = (): void => call.messages.close();
  state.signal.addEventListener('abort', onAbort, {once: true});
  let isEnded = false;
  let uncreditedTokens = 0;
  try {
    for await (const message of call.messages) {
      const result = handleMessage(context, state, peer, message);
      isEnded = result.kind === 'end' || result.kind === 'linkLost';
      if (result.kind === 'linkLost') return 'linkLost';
      if (result.kind === 'none') continue;
      if (result.kind === 'end') {
        if (result.event !== undefined) yield result.event;
        return result.end;
      }
      yield result.event;
      uncreditedTokens += result.event.texts.length;
      if (uncreditedTokens < MIN_CREDIT_TOKENS) continue;
      call.send({type: 'credit', callId: call.callId, count: uncreditedTokens});
      uncreditedTokens = 0;
    }
    return {kind: 'final'};
  } finally {
    state.signal.removeEventListener('abort', onAbort);
    if (!isEnded) call.send(createCancelMessage(call, state));
    call.close();
  }
}

type MessageResult =
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

/**
 * Updates the stream's state by one message and returns what to send to the
 * caller.
 */
function handleMessage(
  context: EntryContext,
  state: StreamState,
  peer: SidecarPeer,
  message: CallMessage,
): MessageResult {
  switch (message.type) {
    case 'accepted':
      state.binding = createBinding(context, state, peer, message.generationId);
      return {kind: 'none'};
    case 'tokens': {
      const {offset} = state;
      // The sidecar sends in order from the requested offset; any other offset
      // would duplicate or lose tokens.
      if (message.offset !== offset) {
        return endpointFailedResult('the stream lost its order');
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
        return endpointFailedResult('the stream ended before its last token');
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
      return endpointFailedResult('an answer of another kind');
    default:
      return assertNever(message);
  }
}

function createBinding(
  context: EntryContext,
  state: StreamState,
  peer: SidecarPeer,
  generationId: string,
): GenerationBinding {
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

function createCancelMessage(call: OpenCall, state: StreamState): EntryMessage {
  const abandon = !state.isResumable || !state.signal.aborted;
  return {type: 'cancel', callId: call.callId, abandon};
}

function endpointFailedResult(detail: string): MessageResult {
  const failure = mayHaveRun(FailureKind.ENDPOINT_FAILED, detail);
  return {kind: 'end', end: {kind: 'failed', failure}};
}
