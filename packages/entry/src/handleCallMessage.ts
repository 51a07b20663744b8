import {createStreamTag} from '@lilacledge/protocol';
import {assertNever, FailureKind, mayHaveRun} from '@lilacledge/shared';
import type {StreamEvent} from './callerRequest.js';
import type {EntryContext} from './entryContext.js';
import type {CallMessage, SidecarPeer} from './sidecarPeer.js';
import type {
  AttemptEnd,
  GenerationBinding,
  StreamState,
} from './streamState.js';

/** What a message means to the caller's stream. */
export type MessageResult =
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
export function handleCallMessage(
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

function endpointFailedResult(detail: string): MessageResult {
  const failure = mayHaveRun(FailureKind.ENDPOINT_FAILED, detail);
  return {kind: 'end', end: {kind: 'failed', failure}};
}
