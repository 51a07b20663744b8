import {Verdict} from '@lilacledge/shared';
import {createParser} from 'eventsource-parser';
import {request} from 'undici';
import type {Dispatcher} from 'undici';
import {EndpointError} from '../ports/endpointError.js';
import type {
  EngineEvent,
  EnginePort,
  EngineRequest,
} from '../ports/enginePort.js';
import {createEndpointAgent} from './endpointAgent.js';
import {parseChunk, parseEngineLoad} from './engineFormat.js';
import {toEndpointError} from './toEndpointError.js';

const END_OF_STREAM = '[DONE]';
const LOAD_TIMEOUT_MS = 1_000;

/** Maximum size of an event; those of engines are far smaller. */
const MAX_EVENT_CHARS = 256 * 1024;

/**
 * Client of the completions API over HTTP with server-sent events. The engine
 * adds `priority` to the request and `GET /engine/load` for its load report, and
 * cancels a generation when the connection is closed.
 */
export function createHttpEngine(url: string): EnginePort {
  const dispatcher = createEndpointAgent({
    connections: 1_024,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  return {
    generate: (engineRequest, signal) =>
      generate(url, dispatcher, engineRequest, signal),
    async readLoad() {
      const response = await request(`${url}/engine/load`, {
        dispatcher,
        signal: AbortSignal.timeout(LOAD_TIMEOUT_MS),
      });
      return parseEngineLoad(await response.body.json());
    },
  };
}

async function* generate(
  url: string,
  dispatcher: Dispatcher,
  engineRequest: EngineRequest,
  signal: AbortSignal,
): AsyncIterable<EngineEvent> {
  try {
    const response = await request(`${url}/v1/completions`, {
      dispatcher,
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        'x-request-id': engineRequest.generationId,
        traceparent: engineRequest.traceparent,
      },
      body: createBody(engineRequest),
      signal,
    });
    if (response.statusCode !== 200) throw await createRefusal(response);
    yield* readEvents(response.body);
  } catch (error) {
    throw toEndpointError(error);
  }
}

function createBody(engineRequest: EngineRequest): string {
  return JSON.stringify({
    model: engineRequest.model,
    prompt: engineRequest.prompt,
    max_tokens: engineRequest.maxTokens,
    priority: engineRequest.priority,
    stream: true,
    stream_options: {include_usage: true},
  });
}

async function createRefusal(
  response: Dispatcher.ResponseData,
): Promise<EndpointError> {
  const text = await response.body.text();
  const detail = `status ${response.statusCode}: ${text.slice(0, 200)}`;
  // The engine answers with an error status only if it has run nothing.
  return new EndpointError(Verdict.NOT_RUN, detail);
}

async function* readEvents(
  body: AsyncIterable<Buffer>,
): AsyncIterable<EngineEvent> {
  const decoder = new TextDecoder();
  let texts: string[] = [];
  let finishReason: string | undefined;
  let promptTokens = 0;
  let isEnded = false;
  const parser = createParser({
    onEvent(event) {
      if (event.data === END_OF_STREAM) {
        isEnded = true;
        return;
      }
      const chunk = parseChunk(event.data);
      if (chunk.text) texts.push(chunk.text);
      finishReason = chunk.finishReason ?? finishReason;
      promptTokens = chunk.promptTokens ?? promptTokens;
    },
    onError(error) {
      if (error.type !== 'max-buffer-size-exceeded') return;
      throw new EndpointError(Verdict.MAY_HAVE_RUN, 'an event is too large');
    },
    maxBufferSize: MAX_EVENT_CHARS,
  });
  for await (const bytes of body) {
    parser.feed(decoder.decode(bytes, {stream: true}));
    if (texts.length > 0) yield {type: 'tokens', texts};
    texts = [];
    if (isEnded) break;
  }
  if (finishReason === undefined || !isEnded) {
    throw new EndpointError(Verdict.MAY_HAVE_RUN, 'the stream broke off');
  }
  yield {type: 'done', finishReason, promptTokens};
}
