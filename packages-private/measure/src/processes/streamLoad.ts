import {localApiKey} from '@lilacledge/localstack';
import {Agent, request} from 'undici';

/** Times of one stream, measured by its caller. */
export interface StreamTimes {
  readonly firstTokenMs: number;
  readonly totalMs: number;
  readonly tokens: number;
}

/** Streams to open at one URL. */
export interface StreamLoad {
  /** URL of an entry, or of an engine if `isDirect`. */
  readonly url: string;
  readonly isDirect: boolean;
  readonly streams: number;
  readonly outputTokens: number;
  readonly organisation: string;
  readonly model: string;
}

const dispatcher = new Agent({
  connections: 2_048,
  headersTimeout: 0,
  bodyTimeout: 0,
});

const NEWLINE = 0x0a;

/** Opens all streams at the same time and reads each to its end. */
export async function runStreams(load: StreamLoad): Promise<StreamTimes[]> {
  const all = Array.from({length: load.streams}, (_, index) =>
    readStream(load, index),
  );
  return Promise.all(all);
}

async function readStream(
  load: StreamLoad,
  index: number,
): Promise<StreamTimes> {
  const startedMs = performance.now();
  const response = await request(`${load.url}/v1/completions`, {
    dispatcher,
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      'x-request-id': `load-${index}`,
      ...(load.isDirect
        ? {}
        : {authorization: `Bearer ${localApiKey(load.organisation)}`}),
    },
    body: JSON.stringify({
      model: load.model,
      prompt: `load ${index} [[output=${load.outputTokens}]]`,
      stream: true,
      max_tokens: load.outputTokens + 1,
    }),
  });
  if (response.statusCode !== 200) {
    throw new Error(`status ${response.statusCode}`);
  }
  let firstTokenMs = 0;
  let events = 0;
  let previousByte = 0;
  for await (const chunk of response.body as AsyncIterable<Buffer>) {
    if (firstTokenMs === 0) firstTokenMs = performance.now() - startedMs;
    for (const byte of chunk) {
      if (byte === NEWLINE && previousByte === NEWLINE) events++;
      previousByte = byte;
    }
  }
  // The last two events are the finish reason and `[DONE]`.
  const tokens = events - 2;
  if (tokens !== load.outputTokens) throw new Error(`token count is ${tokens}`);
  return {firstTokenMs, totalMs: performance.now() - startedMs, tokens};
}
