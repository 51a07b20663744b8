import type {ServerResponse} from 'node:http';
import type {AnswerHead} from '../ports.js';

/** Status codes of answers of our own. */
export const Status = {
  BAD_REQUEST: 400,
  UNAUTHORIZED: 401,
  NOT_FOUND: 404,
  BODY_TOO_LARGE: 413,
  HEAD_TOO_LARGE: 431,
  BAD_GATEWAY: 502,
  UNAVAILABLE: 503,
  GATEWAY_TIMEOUT: 504,
} as const;
export type Status = (typeof Status)[keyof typeof Status];

/** Whether the process is about to end, so that connections should close. */
export interface ClosingState {
  readonly isClosing: boolean;
  /** When the process was told to end; Infinity while it stays. */
  readonly beganAtMs: number;
  /** When the process ends at the latest; Infinity while it stays. */
  readonly endsAtMs: number;
}

/** Answers with a short text of our own. */
export function answerOwn(
  response: ServerResponse,
  closing: ClosingState,
  status: Status,
  text: string,
  retryAfterMs?: number,
): void {
  if (response.headersSent || response.destroyed) return;
  const body = Buffer.from(`${text}\n`);
  const headers = [
    'Content-Type',
    'text/plain; charset=utf-8',
    'Content-Length',
    String(body.length),
  ];
  if (retryAfterMs !== undefined) {
    headers.push('Retry-After', (retryAfterMs / 1_000).toFixed(2));
  }
  if (closing.isClosing) headers.push('Connection', 'close');
  response.writeHead(status, headers);
  response.end(body);
}

/** Hands a whole answer of an endpoint on, as it came. */
export function answerWhole(
  response: ServerResponse,
  closing: ClosingState,
  head: AnswerHead,
  body: Buffer,
): void {
  if (response.headersSent || response.destroyed) return;
  const headers = [...head.headers];
  const isBodiless = head.status === 204 || head.status === 304;
  if (!hasLength(headers) && !isBodiless) {
    headers.push('Content-Length', String(body.length));
  }
  if (closing.isClosing) headers.push('Connection', 'close');
  response.writeHead(head.status, headers);
  response.end(body);
}

/** Begins an answer whose length is not known yet. */
export function beginStream(
  response: ServerResponse,
  closing: ClosingState,
  head: AnswerHead,
): void {
  const headers = [...head.headers];
  if (closing.isClosing) headers.push('Connection', 'close');
  response.writeHead(head.status, headers);
}

/** Ends a begun answer so that it cannot pass for complete. */
export function breakOff(response: ServerResponse): void {
  response.destroy();
}

function hasLength(headers: readonly string[]): boolean {
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() === 'content-length') return true;
  }
  return false;
}
