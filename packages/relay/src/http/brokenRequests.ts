import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import {closingAnswer} from './closingAnswer.js';
import {holdReading} from './holdReading.js';
import {LINGER_MS} from './lingeringClose.js';
import type {OpenConnections} from './openConnections.js';

/** What was wrong with a request. */
export const BrokenCause = {
  MALFORMED: 'malformed request',
  HEAD_TOO_LARGE: 'head too large',
  CHUNK_HEAD_TOO_LARGE: 'chunk head too large',
  HEAD_TOO_SLOW: 'head not finished in time',
  /** No proxy for connections. */
  CONNECT: 'method not allowed',
} as const;
export type BrokenCause = (typeof BrokenCause)[keyof typeof BrokenCause];

/** Status codes for these causes; none of these requests was run. */
const STATUSES = {
  [BrokenCause.MALFORMED]: 400,
  [BrokenCause.HEAD_TOO_LARGE]: 431,
  [BrokenCause.CHUNK_HEAD_TOO_LARGE]: 413,
  [BrokenCause.HEAD_TOO_SLOW]: 408,
  [BrokenCause.CONNECT]: 405,
} as const satisfies Record<BrokenCause, number>;

export interface BrokenRequestsOptions {
  readonly connections: OpenConnections;
  /** Whether a connection is not read for now, so that its caller can't finish a head. */
  readonly isHeldBack: (socket: Socket) => boolean;
  readonly onBroken: (cause: BrokenCause, status: number) => void;
}

/**
 * Answers requests that are no HTTP, too large or too slow, and ends their connections, after
 * the answers to the requests before them.
 */
export function answerBrokenRequests(
  server: Server,
  {connections, isHeldBack, onBroken}: BrokenRequestsOptions,
): void {
  const ended = new WeakSet<Socket>();

  function endAfterAnswers(socket: Socket, cause: BrokenCause): void {
    ended.add(socket);
    const connection = connections.get(socket);
    const hasRequests = connection !== undefined && connection.requests > 0;
    const readOn = hasRequests ? holdReading(socket) : undefined;
    // The body of the newest request may be the broken part; it has not been passed on then.
    const isInBody = connection?.newest?.complete === false;
    connections.whenAtMost(socket, isInBody ? 1 : 0, () => {
      if (!socket.writable) return;
      const status = STATUSES[cause];
      onBroken(cause, status);
      readOn?.();
      socket.end(closingAnswer(status, cause));
      socket.resume();
      const timer = setTimeout(() => socket.destroy(), LINGER_MS).unref();
      socket.once('close', () => clearTimeout(timer));
    });
  }

  server.on('clientError', (error: NodeJS.ErrnoException, stream) => {
    const socket = stream as Socket;
    // The parser reports each later read too, until the connection is closed.
    if (ended.has(socket)) return;
    const cause = causeOf(error.code ?? '');
    if (cause === undefined || !socket.writable) {
      socket.destroy();
      return;
    }
    if (cause === BrokenCause.HEAD_TOO_SLOW && isHeldBack(socket)) return;
    endAfterAnswers(socket, cause);
  });
  // Without a listener, the connection ends at once with all requests on it.
  server.on('connect', (_request, stream) => {
    const socket = stream as Socket;
    socket.on('error', () => socket.destroy());
    if (!ended.has(socket)) endAfterAnswers(socket, BrokenCause.CONNECT);
  });
}

/** Returns undefined if the connection has failed or its caller has left. */
function causeOf(code: string): BrokenCause | undefined {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return BrokenCause.HEAD_TOO_LARGE;
    case 'HPE_CHUNK_EXTENSIONS_OVERFLOW':
      return BrokenCause.CHUNK_HEAD_TOO_LARGE;
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return BrokenCause.HEAD_TOO_SLOW;
    case 'HPE_INVALID_EOF_STATE':
      return undefined;
    default:
      return code.startsWith('HPE_') ? BrokenCause.MALFORMED : undefined;
  }
}
