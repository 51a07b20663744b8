import type {IncomingMessage, ServerResponse} from 'node:http';

/** Reads and parses a JSON body; an empty body reads as `{}`. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString();
  return text === '' ? {} : JSON.parse(text);
}

export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(value));
}
