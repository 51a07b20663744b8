import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Clock} from '@lilacledge/shared';
import {readJson, sendJson} from './httpJson.js';
import {PlainModel} from './plainModel.js';

/** Body of `POST /control`: faults to set. */
interface PlainControl {
  readonly delayMs?: number;
  /** Whether the connection is closed before or after the run of a call. */
  readonly drop?: 'before' | 'after' | 'never';
}

/** Serves the plain-service stand-in over HTTP. */
export function createPlainServer(clock: Clock): Server {
  const model = new PlainModel(clock);
  let drop: PlainControl['drop'] = 'never';

  async function run(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = JSON.stringify(await readJson(request));
    if (drop === 'before') return void response.destroy();
    const answer = await model.run({
      requestId: String(request.headers['x-request-id'] ?? ''),
      method: request.method ?? '',
      path: request.url ?? '',
      body,
    });
    if (drop === 'after') return void response.destroy();
    response.writeHead(answer.status, {'content-type': 'application/json'});
    response.end(answer.body);
  }

  async function applyControl(request: IncomingMessage): Promise<void> {
    const body = (await readJson(request)) as PlainControl;
    model.delayMs = body.delayMs ?? model.delayMs;
    drop = body.drop ?? drop;
  }

  return createServer((request, response) => {
    if (request.url === '/control') {
      return void applyControl(request).then(() => sendJson(response, 200, {}));
    }
    if (request.url === '/runs') return sendJson(response, 200, model.runs);
    return void run(request, response);
  });
}
