import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {HeldRequests, heldRequestBytes} from '@lilacledge/policy';
import type {RequestLine} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';
import {headBytes} from './callerServer.js';
import {holdReading} from './holdReading.js';
import {endAtOnce, lingerAtEnd} from './lingeringClose.js';
import {LoopTurns} from './loopTurns.js';

/** What is done with the requests of callers. */
export interface RequestTurnsOptions {
  readonly clock: Clock;
  /** Bound on what is held of requests that wait for their turn. */
  readonly limitBytes: () => number;
  /** Serves a request whose answer is the next one on its connection. */
  readonly begin: (
    request: IncomingMessage,
    response: ServerResponse,
    arrivedMs: number,
  ) => void;
  /** Whether the event loop has room for the next one now; asked again until it has. */
  readonly takeTurn: () => boolean;
  /** Whether the process leaves, so that all that it has taken is due at once. */
  readonly isLeaving: () => boolean;
  readonly refuse: (request: IncomingMessage, response: ServerResponse) => void;
  /** Ends a request that can't be begun or refused. */
  readonly onFailed: (response: ServerResponse, error: unknown) => void;
}

/** A connection on which requests were sent ahead. */
interface Line {
  readonly requests: RequestLine;
  /** Reads on; undefined while the connection is read. */
  readOn: (() => void) | undefined;
  /** Whether more may have arrived while the connection was not read. */
  mayHaveUnread: boolean;
  /** Whether a request was refused; the ones after it are not looked at. */
  isOverrun: boolean;
  /** Whether the request that was refused for it has its turn, so that none is behind it. */
  isAtEnd: boolean;
}

/** What the HTTP server attaches to a socket. */
interface ParsedSocket {
  readonly parser?: {onIncoming: (request: IncomingMessage) => number} | null;
}

/** Result of `onIncoming` after which the parser takes the rest for another protocol. */
const NOT_HTTP_ANY_MORE = 2;

/**
 * Begins the requests of each connection one after another, as their turns to be answered come.
 * An answer that ends its connection so never loses a request that was begun.
 */
export class RequestTurns {
  private readonly held: HeldRequests;
  private readonly lines = new WeakMap<Socket, Line>();
  /** Connections that are read on after their last answer. */
  private readonly lingering = new Set<Socket>();
  /** Requests whose turn has come. */
  private readonly due: LoopTurns;
  private readonly dueRefusals: LoopTurns;

  constructor(private readonly options: RequestTurnsOptions) {
    const {clock, limitBytes, takeTurn, isLeaving} = options;
    this.held = new HeldRequests(limitBytes);
    this.due = new LoopTurns(clock, takeTurn, isLeaving);
    this.dueRefusals = new LoopTurns(clock, () => true, isLeaving);
  }

  /** Bytes of requests that wait for their turn. */
  get heldBytes(): number {
    return this.held.totalBytes;
  }

  /** Whether a connection is read on after its last answer, which its caller may not have yet. */
  get isLingering(): boolean {
    return this.lingering.size > 0;
  }

  /** Whether the caller has sent a request ahead that is still to be answered. */
  hasRequestBehind({socket}: ServerResponse): boolean {
    if (socket === null) return false;
    const line = this.lines.get(socket);
    if (line === undefined) return false;
    const isRefusalDue = line.isOverrun && !line.isAtEnd;
    const isHolding = line.requests.heldRequests > 0;
    return isRefusalDue || isHolding || line.mayHaveUnread;
  }

  /** Whether a connection is not read, as requests on it wait for their turns. */
  isHeldBack(socket: Socket): boolean {
    return this.lines.get(socket)?.readOn !== undefined;
  }

  /** Begins a request at its turn, or refuses it then. */
  take(request: IncomingMessage, response: ServerResponse): void {
    // Its caller was told that the connection ends, so that nothing more is run on it.
    if (!request.socket.writable) return;
    const {begin, clock} = this.options;
    const {socket} = request;
    if (response.shouldKeepAlive) {
      lingerAtEnd(socket, () => this.linger(socket));
    } else endAtOnce(socket);
    // The server gives an answer its socket once the ones before it are written.
    if (response.socket !== null) begin(request, response, clock.nowMs());
    else this.hold(request, response);
  }

  /** Reads what a caller sends behind its last answer, which belongs to no request. */
  private linger(socket: Socket): void {
    this.lingering.add(socket);
    socket.once('close', () => this.lingering.delete(socket));
    const line = this.lines.get(socket);
    if (line !== undefined) {
      line.isOverrun = true;
      line.readOn?.();
      line.readOn = undefined;
    }
    ignoreFurtherRequests(socket);
    socket.resume();
  }

  private hold(request: IncomingMessage, response: ServerResponse): void {
    const line = this.lineOf(request.socket);
    if (line.isOverrun) return;
    line.readOn ??= holdReading(request.socket);
    const bytes = heldRequestBytes(headBytes(request), bodyBytes(request));
    if (!this.held.hold(line.requests, bytes)) {
      this.overrun(line, request, response);
      return;
    }
    const arrivedMs = this.options.clock.nowMs();
    this.atTurn(response, this.due, () => {
      this.release(line, bytes);
      this.options.begin(request, response, arrivedMs);
    });
  }

  private release(line: Line, bytes: number): void {
    this.held.release(line.requests, bytes);
    if (line.isOverrun || line.requests.heldRequests > 0) return;
    line.readOn?.();
    line.readOn = undefined;
    line.mayHaveUnread = true;
    // What has arrived is read in the next iteration of the event loop.
    setImmediate(() => setImmediate(() => (line.mayHaveUnread = false)));
  }

  private overrun(
    line: Line,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    line.isOverrun = true;
    ignoreFurtherRequests(request.socket);
    this.atTurn(response, this.dueRefusals, () => {
      line.isAtEnd = true;
      this.refuse(request, response);
    });
  }

  private refuse(request: IncomingMessage, response: ServerResponse): void {
    response.shouldKeepAlive = this.hasRequestBehind(response);
    this.options.refuse(request, response);
  }

  /** Calls `begin` once the answer is the next one on its connection, if that ever happens. */
  private atTurn(
    response: ServerResponse,
    due: LoopTurns,
    begin: () => void,
  ): void {
    response.once('socket', () => {
      due.add(() => {
        if (!response.destroyed) this.beginSafely(response, begin);
      });
    });
  }

  /** Nothing catches what a task of the event loop throws, which ends the process. */
  private beginSafely(response: ServerResponse, begin: () => void): void {
    try {
      begin();
    } catch (error) {
      this.options.onFailed(response, error);
    }
  }

  private lineOf(socket: Socket): Line {
    const known = this.lines.get(socket);
    if (known !== undefined) return known;
    const requests = this.held.open();
    const line: Line = {
      requests,
      readOn: undefined,
      mayHaveUnread: false,
      isOverrun: false,
      isAtEnd: false,
    };
    this.lines.set(socket, line);
    socket.once('close', () => this.held.close(requests));
    return line;
  }
}

/** What was read in one piece may hold thousands of requests more, each with its objects. */
function ignoreFurtherRequests(socket: Socket): void {
  const {parser} = socket as ParsedSocket;
  if (parser) parser.onIncoming = endParsing;
}

function endParsing(request: IncomingMessage): number {
  // The server would close the connection at once for an upgrade.
  (request as {upgrade?: boolean}).upgrade = false;
  return NOT_HTTP_ANY_MORE;
}

/** Length of the body as declared; undefined if the request doesn't tell. */
function bodyBytes({headers}: IncomingMessage): number | undefined {
  if (headers['transfer-encoding'] !== undefined) return undefined;
  return Number(headers['content-length'] ?? 0);
}
