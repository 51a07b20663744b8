import {createParser} from 'eventsource-parser';
import {request} from 'undici';
import {localApiKey} from './localStack.js';

/** What a caller received of one streamed generation. */
export interface StreamedAnswer {
  readonly status: number;
  readonly texts: string[];
  readonly eventIds: string[];
  /** True once the `[DONE]` event was received. */
  isComplete: boolean;
  /** The error event, if the stream ended with one. */
  error: {readonly title: string; readonly verdict: string} | undefined;
  /** True if the stream ended without a `[DONE]` or error event. */
  isBroken: boolean;
}

export interface GenerationRequestOptions {
  readonly url: string;
  readonly organisation: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens?: number;
  readonly lastEventId?: string;
  readonly requestId?: string;
  readonly signal?: AbortSignal;
  /**
   * Called after each received chunk; reading pauses until a returned promise
   * resolves.
   */
  readonly onToken?: (answer: StreamedAnswer) => Promise<void> | void;
}

/**
 * Requests a streamed generation as a standard client does, and reads it to its
 * end.
 */
export async function streamGeneration(
  options: GenerationRequestOptions,
): Promise<StreamedAnswer> {
  const response = await request(`${options.url}/v1/completions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${localApiKey(options.organisation)}`,
      'content-type': 'application/json',
      ...(options.requestId === undefined
        ? {}
        : {'x-request-id': options.requestId}),
      ...(options.lastEventId === undefined
        ? {}
        : {'last-event-id': options.lastEventId}),
    },
    body: JSON.stringify({
      model: options.model,
      prompt: options.prompt,
      stream: true,
      max_tokens: options.maxTokens ?? 4_096,
    }),
    headersTimeout: 0,
    bodyTimeout: 0,
    signal: options.signal,
  });
  const answer: StreamedAnswer = {
    status: response.statusCode,
    texts: [],
    eventIds: [],
    isComplete: false,
    error: undefined,
    isBroken: false,
  };
  if (response.statusCode !== 200) {
    answer.error = (await response.body.json()) as StreamedAnswer['error'];
    return answer;
  }
  await readStream(response.body, answer, options.onToken);
  return answer;
}

async function readStream(
  body: AsyncIterable<Buffer>,
  answer: StreamedAnswer,
  onToken: GenerationRequestOptions['onToken'],
): Promise<void> {
  const decoder = new TextDecoder();
  const parser = createParser({
    onEvent: (event) => applyEvent(answer, event),
  });
  try {
    for await (const bytes of body) {
      parser.feed(decoder.decode(bytes, {stream: true}));
      await onToken?.(answer);
    }
  } catch {
    answer.isBroken = true;
  }
  if (!answer.isComplete && answer.error === undefined) answer.isBroken = true;
}

function applyEvent(
  answer: StreamedAnswer,
  event: {id?: string; event?: string; data: string},
): void {
  if (event.data === '[DONE]') {
    answer.isComplete = true;
    return;
  }
  const data = JSON.parse(event.data) as {
    choices?: ReadonlyArray<{text?: string}>;
    error?: StreamedAnswer['error'];
  };
  if (event.event === 'error') {
    answer.error = data.error;
    return;
  }
  const text = data.choices?.[0]?.text ?? '';
  if (text === '') return;
  answer.texts.push(text);
  answer.eventIds.push(event.id ?? '');
}

export interface BookingRequestOptions {
  readonly url: string;
  readonly organisation: string;
  readonly service: string;
  readonly body: unknown;
  readonly key?: string;
  readonly requestId?: string;
}

/** The answer to a booking call. */
export interface BookingAnswer {
  readonly status: number;
  readonly isReplay: boolean;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Posts a booking, with an idempotency key if one is given. */
export async function postBooking(
  options: BookingRequestOptions,
): Promise<BookingAnswer> {
  const response = await request(
    `${options.url}/services/${options.service}/bookings`,
    {
      method: 'POST',
      headers: {
        authorization: `Bearer ${localApiKey(options.organisation)}`,
        'content-type': 'application/json',
        ...(options.key === undefined ? {} : {'idempotency-key': options.key}),
        ...(options.requestId === undefined
          ? {}
          : {'x-request-id': options.requestId}),
      },
      body: JSON.stringify(options.body),
      headersTimeout: 60_000,
    },
  );
  return {
    status: response.statusCode,
    isReplay: response.headers['idempotent-replayed'] === 'true',
    body: (await response.body.json()) as BookingAnswer['body'],
  };
}
