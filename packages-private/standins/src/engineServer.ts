import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Clock} from '@lilacledge/shared';
import type {EngineConstants} from './engineConstants.js';
import {EngineModel} from './engineModel.js';
import {readJson, sendJson} from './httpJson.js';

const CHARS_PER_TOKEN = 4;

interface CompletionBody {
  readonly model?: string;
  readonly prompt: string;
  readonly max_tokens?: number;
  readonly priority?: number;
}

/** Body of `POST /control`: faults to set or to end. */
interface EngineControl {
  readonly isFrozen?: boolean;
  readonly slowFactor?: number;
  /**
   * Closes the connection of each stream after this many tokens; null ends the
   * fault.
   */
  readonly breakAfterTokens?: number | null;
}

/**
 * Serves the engine stand-in over HTTP. It uses only node:http, to keep the
 * overhead of the benchmark's direct path low.
 */
export function createEngineServer(
  clock: Clock,
  constants: EngineConstants,
): Server {
  const model = new EngineModel(clock, constants);
  let breakAfterTokens: number | undefined;

  async function applyControl(request: IncomingMessage): Promise<void> {
    const body = (await readJson(request)) as EngineControl;
    if (body.isFrozen !== undefined) model.isFrozen = body.isFrozen;
    if (body.slowFactor !== undefined) model.slowFactor = body.slowFactor;
    if (body.breakAfterTokens !== undefined) {
      breakAfterTokens = body.breakAfterTokens ?? undefined;
    }
  }

  async function complete(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = (await readJson(request)) as CompletionBody;
    const id = String(request.headers['x-request-id'] ?? 'direct');
    const promptTokens = Math.ceil(body.prompt.length / CHARS_PER_TOKEN);
    let sent = 0;
    response.writeHead(200, {'content-type': 'text/event-stream'});
    const cancel = model.submit(
      {
        id,
        prompt: body.prompt,
        promptTokens,
        maxTokens: body.max_tokens ?? 32_768,
        priority: body.priority ?? 5,
      },
      {
        onToken(text) {
          if (sent === breakAfterTokens) return void response.destroy();
          sent++;
          response.write(formatChunk(text, null));
        },
        onDone(finishReason) {
          const usage = {prompt_tokens: promptTokens, completion_tokens: sent};
          response.write(formatChunk('', finishReason, usage));
          response.end('data: [DONE]\n\n');
        },
        onBroken: () => response.destroy(),
      },
    );
    response.on('close', cancel);
  }

  return createServer((request, response) => {
    switch (request.url) {
      case '/v1/completions':
        return void complete(request, response);
      case '/engine/load':
        return sendJson(response, 200, model.report());
      case '/engine/counters':
        return sendJson(response, 200, model.counters);
      case '/control':
        return void applyControl(request).then(() =>
          sendJson(response, 200, {}),
        );
      default:
        return sendJson(response, 404, {});
    }
  });
}

function formatChunk(
  text: string,
  finishReason: string | null,
  usage?: unknown,
): string {
  const choices = [{index: 0, text, finish_reason: finishReason}];
  const object = 'text_completion';
  return `data: ${JSON.stringify({object, choices, usage})}\n\n`;
}
