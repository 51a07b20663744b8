import {formatEventId} from '@lilacledge/protocol';
import {FailureKind, mayHaveRun} from '@lilacledge/shared';
import type {StreamEvent} from '../callerRequest.js';
import type {CompletionFormatter} from './completionFormat.js';
import {toProblem, toProblemResponse} from './problem.js';

/**
 * Builds a response of server-sent events. The headers wait for the first
 * event, so that a request that fails before any token gets the HTTP status of
 * its failure. A later failure is sent as an `error` event, and the stream then
 * has no `[DONE]`.
 */
export async function toStreamResponse(
  requestId: string,
  events: AsyncIterable<StreamEvent>,
  formatter: CompletionFormatter,
  onCallerGone: () => void,
): Promise<Response> {
  const iterator = events[Symbol.asyncIterator]();
  const first = await iterator.next();
  if (first.done === true) {
    const failure = mayHaveRun(FailureKind.CANCELLED, 'the caller left');
    return toProblemResponse(failure, requestId);
  }
  if (first.value.type === 'failed') {
    await iterator.return?.();
    return toProblemResponse(first.value.failure, requestId);
  }
  let pending: StreamEvent | undefined = first.value;
  const encoder = new TextEncoder();
  const body = new ReadableStream<Uint8Array>(
    {
      async pull(controller) {
        const event = pending ?? (await iterator.next()).value;
        pending = undefined;
        if (event === undefined) {
          controller.close();
          return;
        }
        const text = formatEvent(event as StreamEvent, requestId, formatter);
        controller.enqueue(encoder.encode(text));
        if ((event as StreamEvent).type === 'tokens') return;
        controller.close();
        // Ends the generator, so that its `finally` blocks release what it
        // holds.
        await iterator.return?.();
      },
      async cancel() {
        onCallerGone();
        await iterator.return?.();
      },
    },
    {highWaterMark: 1},
  );
  return new Response(body, {
    headers: {
      'content-type': 'text/event-stream; charset=utf-8',
      'cache-control': 'no-cache',
      'x-request-id': requestId,
    },
  });
}

/** Builds one response with the complete text, or with the failure. */
export async function toFullResponse(
  requestId: string,
  events: AsyncIterable<StreamEvent>,
  formatter: CompletionFormatter,
): Promise<Response> {
  const texts: string[] = [];
  for await (const event of events) {
    if (event.type === 'tokens') {
      texts.push(...event.texts);
      continue;
    }
    if (event.type === 'failed') {
      return toProblemResponse(event.failure, requestId);
    }
    const body = formatter.fullResponse(
      texts.join(''),
      event.finishReason,
      event.promptTokens,
      event.completionTokens,
    );
    return new Response(body, {
      headers: {
        'content-type': 'application/json',
        'x-request-id': requestId,
      },
    });
  }
  const failure = mayHaveRun(FailureKind.CANCELLED, 'the caller left');
  return toProblemResponse(failure, requestId);
}

function formatEvent(
  event: StreamEvent,
  requestId: string,
  formatter: CompletionFormatter,
): string {
  switch (event.type) {
    case 'tokens':
      return event.texts
        .map((text, index) => {
          const id = formatEventId(event.streamTag, event.offset + index + 1);
          return `id: ${id}\ndata: ${formatter.chunk(text)}\n\n`;
        })
        .join('');
    case 'done': {
      const {finishReason, promptTokens, completionTokens} = event;
      const id = formatEventId(event.streamTag, completionTokens);
      const chunk = formatter.lastChunk(
        finishReason,
        promptTokens,
        completionTokens,
      );
      return `id: ${id}\ndata: ${chunk}\n\ndata: [DONE]\n\n`;
    }
    case 'failed': {
      const problem = toProblem(event.failure, requestId);
      const error = {...problem, message: problem.detail};
      return `event: error\ndata: ${JSON.stringify({error})}\n\n`;
    }
  }
}
