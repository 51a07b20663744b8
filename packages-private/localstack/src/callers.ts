import {createParser} from 'eventsource-parser';
import {request} from 'undici';
import {localApiKey} from './localStack.js';

/** What a caller got of one streamed generation. */
export interface StreamedAnswer {
  readonly status: number;
  readonly texts: string[];
  readonly eventIds: string[];
  /** True only after the end event. */
  isComplete: boolean;
  /** The error event, if the stream ended with one. */
  error: {readonly title: string; readonly verdict: string} | undefined;
  /** True when the connection broke without any end. */
  isBroken: boolean;
}

export interface GenerationAsk {
  readonly url: string;
  readonly organisation: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens?: number;
  readonly lastEventId?: string;
  readonly requestId?: string;
  readonly signal?: AbortSignal;
  /** Called after each event; a promise holds the reader back. */
  readonly onToken?: (answer: StreamedAnswer) => Promise<void> | void;
}

/** Asks for a generation as a stock client does, and reads it to its end. */
export async function streamGeneration(
  ask: GenerationAsk,
): Promise<StreamedAnswer> {
  const response = await request(`${ask.url}/v1/completions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${localApiKey(ask.organisation)}`,
      'content-type': 'application/json',
      ...(ask.requestId === undefined ? {} : {'x-request-id': ask.requestId}),
      ...(ask.lastEventId === undefined
        ? {}
        : {'last-event-id': ask.lastEventId}),
    },
    body: JSON.stringify({
      model: ask.model,
      prompt: ask.prompt,
      stream: true,
      max_tokens: ask.maxTokens ?? 4_096,
    }),
    headersTimeout: 0,
    bodyTimeout: 0,
    signal: ask.signal,
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
  await readStream(response.body, answer, ask.onToken);
  return answer;
}

async function readStream(
  body: AsyncIterable<Buffer>,
  answer: StreamedAnswer,
  onToken: GenerationAsk['onToken'],
): Promise<void> {
  const decoder = new TextDecoder();
  const parser = createParser({
    onEvent: (event) => takeEvent(answer, event),
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

function takeEvent(
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

export interface BookingAsk {
  readonly url: string;
  readonly organisation: string;
  readonly service: string;
  readonly body: unknown;
  readonly key?: string;
  readonly requestId?: string;
}

/** The final answer to a plain call. */
export interface BookingAnswer {
  readonly status: number;
  readonly isReplay: boolean;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Posts a booking under an idempotency key. */
export async function postBooking(ask: BookingAsk): Promise<BookingAnswer> {
  const response = await request(
    `${ask.url}/services/${ask.service}/bookings`,
    {
      method: 'POST',
      headers: {
        authorization: `Bearer ${localApiKey(ask.organisation)}`,
        'content-type': 'application/json',
        ...(ask.key === undefined ? {} : {'idempotency-key': ask.key}),
        ...(ask.requestId === undefined ? {} : {'x-request-id': ask.requestId}),
      },
      body: JSON.stringify(ask.body),
      headersTimeout: 60_000,
    },
  );
  return {
    status: response.statusCode,
    isReplay: response.headers['idempotent-replayed'] === 'true',
    body: (await response.body.json()) as BookingAnswer['body'],
  };
}
