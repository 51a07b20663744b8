import {STATUS_CODES} from 'node:http';

/** Returns an answer for a request that was not read whole, the last one on its connection. */
export function closingAnswer(
  status: number,
  text: string,
  retryAfterMs?: number,
): string {
  const body = `${text}\n`;
  const retryAfter =
    retryAfterMs === undefined
      ? []
      : [`Retry-After: ${(retryAfterMs / 1_000).toFixed(2)}`];
  return [
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
    'Content-Type: text/plain; charset=utf-8',
    `Content-Length: ${body.length}`,
    ...retryAfter,
    'Connection: close',
    '',
    body,
  ].join('\r\n');
}
