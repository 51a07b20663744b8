import {request} from 'node:http';
import type {ClientRequest, IncomingMessage} from 'node:http';
import type {EndpointAddress} from '../model/index.js';
import {connectToEndpoint} from './connectToEndpoint.js';
import {hasProcessEnded} from './hasEnded.js';
import {areHeaderNamesValid} from './headSyntax.js';
import {payloadChunks} from './payload.js';
import type {Payload} from './payload.js';
import {RESET_CODES} from './resetCodes.js';

/**
 * Endpoints accept connections within milliseconds. Nothing has been sent before the
 * connection is open, so trying another endpoint afterwards is safe.
 */
const CONNECT_TIMEOUT_MS = 250;

/** Maximum size of a response head; those of the engines are far smaller. */
const MAX_ANSWER_HEAD_BYTES = 32 * 1024;

/**
 * Maximum size of all that precedes the response head, and number of interim responses in it. An
 * endpoint that never gets to its head would otherwise occupy the process until the timeout.
 */
const MAX_BYTES_BEFORE_HEAD = 64 * 1024;
const MAX_INTERIM_RESPONSES = 64;

const ABORTED_DETAIL = 'the send was aborted';

/** Statuses below this are no answer, or precede one. */
const MIN_FINAL_STATUS = 200;

/** How long a proxy in front of an ended endpoint may take to close a new connection. */
const ENDED_PROBE_MS = 20;

/** A request to send to an endpoint. */
export interface EndpointSend {
  readonly address: EndpointAddress;
  readonly method: string;
  readonly target: string;
  readonly headers: readonly string[];
  readonly body: Payload;
  readonly signal: AbortSignal;
  /** Asked when the connection is open; if false, nothing is sent. */
  readonly mayStillSend?: () => boolean;
}

/** Result of a send, up to the response head. */
export type SendOutcome =
  /** No request can hold the target or a header: nothing was sent, here or elsewhere. */
  | {readonly kind: 'unsendable'; readonly detail: string}
  /** No connection was opened: the request cannot have run. */
  | {
      readonly kind: 'notSent';
      readonly detail: string;
      readonly isReset: boolean;
    }
  /** Sent, but no response head arrived: the request may have run. */
  | {
      readonly kind: 'noAnswer';
      readonly detail: string;
      /** True when the endpoint's host reset or refused the connection. */
      readonly isReset: boolean;
      /** True when the endpoint said nothing, so that the request may reach it still. */
      readonly mayArrive: boolean;
      /** Bytes of the request that the operating system had not taken. */
      readonly unsentBytes: number;
    }
  | {
      readonly kind: 'answered';
      readonly response: IncomingMessage;
      /** True if the answer has neither a length nor chunks, so that its connection ends it. */
      readonly isDelimitedByClose: boolean;
      /** Closes the connection, which makes the endpoint stop its work. */
      readonly cancel: () => void;
      /**
       * Whether the connection was reset or, for an answer that ends with it, the endpoint's
       * process has ended too. Such an answer is incomplete, although the HTTP parser reports
       * it as complete.
       */
      readonly isBrokenOff: () => Promise<boolean>;
    };

/**
 * Sends one request. Never rejects. Aborting the signal resets the connection before the response
 * head, so that what has not left this machine never arrives, and closes it afterwards.
 */
export function sendToEndpoint(send: EndpointSend): Promise<SendOutcome> {
  let outgoing: ClientRequest;
  try {
    outgoing = createRequest(send);
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return Promise.resolve({kind: 'unsendable', detail});
  }
  return readHead(send, outgoing);
}

/** Throws if no request can hold the target or a header. */
function createRequest(send: EndpointSend): ClientRequest {
  return request({
    createConnection: connectToEndpoint,
    host: send.address.host,
    port: send.address.port,
    method: send.method,
    path: send.target,
    headers: send.headers as string[],
    setHost: false,
    maxHeaderSize: MAX_ANSWER_HEAD_BYTES,
  });
}

function readHead(
  send: EndpointSend,
  outgoing: ClientRequest,
): Promise<SendOutcome> {
  return new Promise((resolve) => {
    let isConnected = false;
    let hasFailed = false;
    let isAborted = false;
    // An event loop that was held up runs its timers before it notices open connections.
    const timer = setTimeout(() => setImmediate(giveUp), CONNECT_TIMEOUT_MS);

    function giveUp(): void {
      if (isConnected) return;
      outgoing.destroy(new Error(`no connection in ${CONNECT_TIMEOUT_MS} ms`));
    }

    // A process that is held up may get here long after the send began.
    function noteConnected(): void {
      clearTimeout(timer);
      if (send.mayStillSend?.() === false) {
        outgoing.destroy(new Error('connected too late'));
        return;
      }
      isConnected = true;
    }

    const abort = (): void => {
      isAborted = true;
      const {socket} = outgoing;
      if (!hasHead && socket?.connecting === false) socket.resetAndDestroy();
      outgoing.destroy(new Error(ABORTED_DETAIL));
    };
    send.signal.addEventListener('abort', abort, {once: true});
    outgoing.once('close', () => {
      send.signal.removeEventListener('abort', abort);
    });

    let hasHead = false;
    let bytesBeforeHead = 0;
    let interimResponses = 0;

    function abortWithoutHead(detail: string): void {
      if (!hasHead) outgoing.destroy(new Error(detail));
    }

    outgoing.on('information', () => {
      interimResponses++;
      if (interimResponses <= MAX_INTERIM_RESPONSES) return;
      abortWithoutHead('too many interim responses');
    });
    outgoing.on('socket', (socket) => {
      socket.on('data', function count(chunk: Buffer): void {
        if (hasHead) socket.off('data', count);
        bytesBeforeHead += chunk.length;
        if (bytesBeforeHead <= MAX_BYTES_BEFORE_HEAD) return;
        abortWithoutHead('too many bytes before the response head');
      });
      if (socket.connecting) socket.once('connect', noteConnected);
      else noteConnected();
    });
    outgoing.on('error', (error: NodeJS.ErrnoException) => {
      clearTimeout(timer);
      hasFailed = true;
      const isReset = !isAborted && RESET_CODES.has(error.code ?? '');
      const detail = isAborted ? ABORTED_DETAIL : error.message;
      if (!isConnected) {
        resolve({kind: 'notSent', detail, isReset});
        return;
      }
      const {bytesRead = 0, writableLength: unsentBytes = 0} =
        outgoing.socket ?? {};
      const mayArrive = !isReset && bytesRead === 0;
      resolve({kind: 'noAnswer', detail, isReset, mayArrive, unsentBytes});
    });
    // Node.js reports neither a response nor an error then.
    outgoing.on('upgrade', (_response, socket) => {
      socket.destroy();
      const detail = 'the endpoint changed the protocol';
      resolve(answeredOtherwise(detail));
    });
    outgoing.on('response', (response) => {
      hasHead = true;
      // A later reset without an error listener would crash the process.
      response.on('error', () => {});
      if (!canBePassedOn(response)) {
        const detail = `no answer of HTTP, status ${response.statusCode}`;
        resolve(answeredOtherwise(detail));
        outgoing.destroy();
        return;
      }
      const endsWithConnection = isDelimitedByClose(response);
      const wasReset = endsWithConnection
        ? detectResetAtEnd(response)
        : undefined;
      const isBrokenOff = async (): Promise<boolean> => {
        if (hasFailed) return true;
        if (wasReset === undefined) return false;
        // A process that is killed closes its connections in order.
        return (
          (await wasReset()) ||
          (await hasProcessEnded(send.address, ENDED_PROBE_MS))
        );
      };
      resolve({
        kind: 'answered',
        response,
        isDelimitedByClose: endsWithConnection,
        cancel: () => outgoing.destroy(),
        isBrokenOff,
      });
    });
    if (send.signal.aborted) {
      abort();
      return;
    }
    const chunks = payloadChunks(send.body);
    for (const chunk of chunks.slice(0, -1)) outgoing.write(chunk);
    outgoing.end(chunks.at(-1));
  });
}

/** The endpoint has got the request, and has answered it with what can't be passed on. */
function answeredOtherwise(detail: string): SendOutcome {
  return {
    kind: 'noAnswer',
    detail,
    isReset: false,
    mayArrive: false,
    unsentBytes: 0,
  };
}

/** False for a head that the HTTP parser reads but that can't be written to a caller. */
function canBePassedOn({statusCode = 0, rawHeaders}: IncomingMessage): boolean {
  return statusCode >= MIN_FINAL_STATUS && areHeaderNamesValid(rawHeaders);
}

/** True for an answer whose body ends only when the connection closes. */
function isDelimitedByClose(response: IncomingMessage): boolean {
  const {headers} = response;
  return (
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined
  );
}

/**
 * Detects whether a connection that ended was closed or reset. When the last bytes and a
 * reset are read together, Node.js reports only an end (libuv treats a hang-up after a
 * partial read as one), but a write then fails. The endpoint has already closed its side,
 * so it never receives the empty line written here.
 */
function detectResetAtEnd(response: IncomingMessage): () => Promise<boolean> {
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
