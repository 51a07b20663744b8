import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {ClientLimits} from '../model/index.js';

/**
 * Added to the configured idle timeout: clients may reuse a connection until that timeout,
 * so the server closes it slightly later.
 */
const IDLE_MARGIN_MS = 1_000;

/** Used until a configuration is loaded. */
export const DEFAULT_LIMITS: ClientLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_048_576,
  headerTimeoutMs: 5_000,
  idleTimeoutMs: 15_000,
};

/** How often connections are checked for request heads that take too long. */
const TIMEOUT_CHECK_MS = 500;

/** The HTTP/1.1 server for callers, without TLS. */
export interface CallerServer {
  readonly server: Server;
  setLimits(limits: ClientLimits): void;
}

/** What Node.js reads from a server for each new connection. */
interface HeadLimit {
  maxHeaderSize?: number;
}

/** Creates the server without starting to listen. */
export function createCallerServer(
  handle: (request: IncomingMessage, response: ServerResponse) => void,
): CallerServer {
  const server = createServer(
    {
      connectionsCheckingInterval: TIMEOUT_CHECK_MS,
      noDelay: true,
      requestTimeout: 0,
    },
    handle,
  );
  const callerServer: CallerServer = {
    server,
    setLimits(limits) {
      // The parser leaves out separators, so it takes each head that is within the limit.
      (server as HeadLimit).maxHeaderSize = limits.maxHeaderBytes;
      server.headersTimeout = limits.headerTimeoutMs + TIMEOUT_CHECK_MS;
      server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
    },
  };
  callerServer.setLimits(DEFAULT_LIMITS);
  return callerServer;
}

/** Size of a request head in bytes, as counted against `maxHeaderBytes`. */
export function headBytes(request: IncomingMessage): number {
  // The HTTP parser also reads RTSP, whose methods it does not name.
  const {method = '', url = ''} = request;
  let size = method.length + url.length + 12;
  for (const text of request.rawHeaders) size += text.length + 2;
  return size;
}
