import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {EndpointError} from '../../ports/endpointError.js';
import type {EngineEvent} from '../../ports/enginePort.js';
import {createHttpEngine} from '../httpEngine.js';

const TOKEN = 'data: {"choices":[{"text":"a","finish_reason":null}]}\n\n';
const LAST =
  'data: {"choices":[{"text":"","finish_reason":"stop"}],"usage":{"prompt_tokens":4}}\n\n';
const DONE = 'data: [DONE]\n\n';

const REQUEST = {
  generationId: 'g-1',
  model: 'm',
  prompt: 'p',
  promptTokens: 4,
  maxTokens: 10,
  priority: 5,
  traceparent: '',
};

describe('createHttpEngine', () => {
  let server: Server | undefined;

  afterEach(() => {
    server?.closeAllConnections();
    server?.close();
  });

  async function serve(status: number, ...chunks: string[]): Promise<string> {
    server = createServer((request, response) => {
      request.resume();
      response.writeHead(status, {'content-type': 'text/event-stream'});
      for (const chunk of chunks) response.write(chunk);
      response.end();
    });
    await new Promise<void>((resolve) => {
      server!.listen(0, '127.0.0.1', resolve);
    });
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  async function collect(url: string): Promise<EngineEvent[]> {
    const events: EngineEvent[] = [];
    const stream = createHttpEngine(url).generate(
      REQUEST,
      new AbortController().signal,
    );
    for await (const event of stream) events.push(event);
    return events;
  }

  async function verdictOf(url: string): Promise<string> {
    try {
      await collect(url);
      return 'complete';
    } catch (error) {
      expect(error).toBeInstanceOf(EndpointError);
      return (error as EndpointError).verdict;
    }
  }

  it('yields the tokens and one done event', async () => {
    const events = await collect(await serve(200, TOKEN, TOKEN, LAST, DONE));
    const texts = events.flatMap((event) =>
      event.type === 'tokens' ? event.texts : [],
    );
    expect(texts).toEqual(['a', 'a']);
    expect(events.at(-1)).toEqual({
      type: 'done',
      finishReason: 'stop',
      promptTokens: 4,
    });
  });

  it.each([
    ['an empty stream', 200, [], 'mayHaveRun'],
    ['tokens without an end of stream', 200, [TOKEN], 'mayHaveRun'],
    ['a finish reason without [DONE]', 200, [TOKEN, LAST], 'mayHaveRun'],
    ['[DONE] without a finish reason', 200, [TOKEN, DONE], 'mayHaveRun'],
    ['an error status', 503, [], 'notRun'],
  ])('maps %s to its verdict', async (_, status, chunks, verdict) => {
    expect(await verdictOf(await serve(status, ...chunks))).toBe(verdict);
  });

  it('throws the verdict notRun when the connection is refused', async () => {
    const url = await serve(200);
    server!.close();
    server!.closeAllConnections();
    expect(await verdictOf(url)).toBe('notRun');
  });
});
