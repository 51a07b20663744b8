import {Agent, request} from 'node:http';
import type {ClientRequest, IncomingMessage} from 'node:http';
import type {EndpointAddress} from '../model/index.js';

/**
 * A new connection for each send: what an endpoint writes after an answer, or
 * too late, then belongs to no other request, and no send meets a connection
 * that is just being closed for idleness. It costs about a millisecond.
 */
const agent = new Agent({keepAlive: false, noDelay: true});

/**
 * Longest wait for a connection. Endpoints accept within milliseconds; nothing
 * was sent before that, so another endpoint may be tried without risk.
 */
const CONNECT_TIMEOUT_MS = 250;

/** Largest head of an answer; the engines' own heads are far below. */
const MAX_ANSWER_HEAD_BYTES = 32 * 1024;

/** Codes by which the other side, and not the way there, ended a connection. */
export const RESET_CODES: ReadonlySet<string> = new Set([
  'ECONNRESET',
  'ECONNREFUSED',
  'EPIPE',
]);

/** One request on its way to an endpoint. */
export interface EndpointSend {
  readonly address: EndpointAddress;
  readonly method: string;
  readonly target: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly signal: AbortSignal;
}

/** What became of a send until the head of its answer. */
export type SendOutcome =
  /** No connection: the request cannot have run. */
  | {
      readonly kind: 'notSent';
      readonly detail: string;
      readonly isReset: boolean;
    }
  /** Sent, and no head came: the request may have run. */
  | {
      readonly kind: 'noAnswer';
      readonly detail: string;
      /** True when the endpoint's side ended or refused the connection. */
      readonly isReset: boolean;
    }
  | {
      readonly kind: 'answered';
      readonly response: IncomingMessage;
      /** Ends the connection, and with it the endpoint's work. */
      readonly cancel: () => void;
      /**
       * Whether the connection was reset. An answer without a length that ends
       * like that is not whole, although the parser takes it so.
       */
      readonly isReset: () => Promise<boolean>;
    };

/** Sends one request; never rejects. Aborting the signal ends the connection. */
export function sendToEndpoint(send: EndpointSend): Promise<SendOutcome> {
  return new Promise((resolve) => {
    let isConnected = false;
    let hasFailed = false;
    const outgoing: ClientRequest = request({
      agent,
      host: send.address.host,
      port: send.address.port,
      method: send.method,
      path: send.target,
      headers: send.headers as string[],
      setHost: false,
      signal: send.signal,
      maxHeaderSize: MAX_ANSWER_HEAD_BYTES,
    });
    const timer = setTimeout(() => {
      outgoing.destroy(new Error(`no connection in ${CONNECT_TIMEOUT_MS} ms`));
    }, CONNECT_TIMEOUT_MS);

    function noteConnected(): void {
      isConnected = true;
      clearTimeout(timer);
    }

    outgoing.on('socket', (socket) => {
      if (socket.connecting) socket.once('connect', noteConnected);
      else noteConnected();
    });
    outgoing.on('error', (error: NodeJS.ErrnoException) => {
      clearTimeout(timer);
      hasFailed = true;
      const kind = isConnected ? 'noAnswer' : 'notSent';
      const isReset = RESET_CODES.has(error.code ?? '');
      resolve({kind, detail: error.message, isReset});
    });
    outgoing.on('response', (response) => {
      const probed = isUnframed(response) ? probeAtEnd(response) : undefined;
      // Without a listener a later reset would end the process.
      response.on('error', () => {});
      resolve({
        kind: 'answered',
        response,
        cancel: () => outgoing.destroy(),
        isReset: async () => hasFailed || ((await probed?.()) ?? false),
      });
    });
    outgoing.end(send.body);
  });
}

/** True for an answer whose end is the end of its connection. */
function isUnframed(response: IncomingMessage): boolean {
  const {headers} = response;
  return (
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined
  );
}

/**
 * Finds out at the end of a connection whether it was closed or reset. When
 * the last bytes and a reset are read at once, Node.js tells of an end only
 * (libuv takes a hang-up after a partial read for one), but a write then fails.
 * The endpoint has closed its side, so that the empty line reaches nobody.
 */
function probeAtEnd(response: IncomingMessage): () => Promise<boolean> {
  const {socket} = response;
  let probe: Promise<boolean> | undefined;
  socket.prependOnceListener('end', () => {
    probe = new Promise((resolve) => {
      socket.write('\r\n', (error) => resolve(error != null));
      socket.once('close', () => resolve(true));
    });
  });
  return () => probe ?? Promise.resolve(false);
}
