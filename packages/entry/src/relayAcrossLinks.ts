import type {EntryMessage} from '@lilacledge/protocol';
import {FailureKind, mayHaveRun} from '@lilacledge/shared';
import type {StreamEvent} from './callerRequest.js';
import type {EntryContext} from './entryContext.js';
import {handleCallMessage} from './handleCallMessage.js';
import type {OpenCall, SidecarPeer} from './sidecarPeer.js';
import {NO_ENDPOINT_RETRY_AFTER_MS} from './streamFailures.js';
import type {AttemptEnd, StreamState} from './streamState.js';

/** Tokens that a sidecar may send before the caller has read them. */
export const CREDIT_WINDOW_TOKENS = 512;

/** Credit is returned once at least this many tokens were read. */
const MIN_CREDIT_TOKENS = 64;

/** How long a stream waits for a lost link to reopen before it fails. */
const RECONNECT_TIMEOUT_MS = 8_000;

/** An open call that delivers the events of a generation. */
export interface AttachedCall {
  readonly peer: SidecarPeer;
  readonly call: OpenCall;
}

/**
 * Relays one generation across lost links: when the link to the same
 * incarnation reopens, the generation is resumed from the caller's offset.
 */
export async function* relayAcrossLinks(
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
      const result = handleCallMessage(context, state, peer, message);
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

function createCancelMessage(call: OpenCall, state: StreamState): EntryMessage {
  const abandon = !state.isResumable || !state.signal.aborted;
  return {type: 'cancel', callId: call.callId, abandon};
}
