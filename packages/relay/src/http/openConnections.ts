import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** A connection of a caller. */
export interface OpenConnection {
  readonly socket: Socket;
  /** Requests that were read, at least their heads, and are not answered. */
  readonly requests: number;
  /** The newest request. */
  readonly newest: IncomingMessage | undefined;
  /** Whether its next answer ends it. */
  readonly isRetired: boolean;
  /** Bytes that had been read when the last of its requests was answered. */
  readonly answeredBytes: number;
}

interface ConnectionState extends OpenConnection {
  requests: number;
  newest: IncomingMessage | undefined;
  isRetired: boolean;
  answeredBytes: number;
  answered: ((requests: number) => void) | undefined;
}

/** The open connections of callers, and the requests on them. */
export class OpenConnections {
  private readonly states = new Map<Socket, ConnectionState>();
  /** Connections without a request, the one that has been so for longest first. */
  private readonly idle = new Set<ConnectionState>();
  private requests = 0;

  get size(): number {
    return this.states.size;
  }

  get hasIdle(): boolean {
    return this.idle.size > 0;
  }

  /** Number of connections with a request. */
  get busySize(): number {
    return this.states.size - this.idle.size;
  }

  /** Requests that were read, at least their heads, and are not answered. */
  get requestCount(): number {
    return this.requests;
  }

  sockets(): Iterable<Socket> {
    return this.states.keys();
  }

  get(socket: Socket): OpenConnection | undefined {
    return this.states.get(socket);
  }

  add(socket: Socket): void {
    const state: ConnectionState = {
      socket,
      requests: 0,
      newest: undefined,
      isRetired: false,
      answeredBytes: 0,
      answered: undefined,
    };
    this.states.set(socket, state);
    this.idle.add(state);
  }

  /** Forgets a connection that has ended. Returns it if it was known. */
  remove(socket: Socket): OpenConnection | undefined {
    const state = this.states.get(socket);
    if (state === undefined) return undefined;
    this.states.delete(socket);
    this.idle.delete(state);
    this.requests -= state.requests;
    return state;
  }

  /** The head of a request was read. */
  noteRequest(request: IncomingMessage, response: ServerResponse): void {
    const state = this.states.get(request.socket);
    if (state === undefined) return;
    state.requests++;
    state.newest = request;
    this.requests++;
    this.idle.delete(state);
    response.once('close', () => this.noteAnswered(state));
  }

  /** Calls back once, when no more than so many requests of a connection are unanswered. */
  whenAtMost(socket: Socket, requests: number, call: () => void): void {
    const state = this.states.get(socket);
    if (state === undefined) return;
    if (state.requests <= requests) {
      call();
      return;
    }
    state.answered = (left) => {
      if (left > requests) return;
      state.answered = undefined;
      call();
    };
  }

  /**
   * Ends the connection that has been without a request for longest, which frees its room at
   * once.
   *
   * @param refusal answer for a request of which a part was read.
   */
  endLongestIdle(refusal: string): void {
    const [state] = this.idle;
    if (state === undefined) return;
    this.remove(state.socket);
    if (isUnread(state) || !state.socket.writable) state.socket.destroy();
    else {
      state.socket.write(refusal);
      // A caller that reads nothing would hold the connection.
      if (state.socket.writableLength > 0) state.socket.destroy();
      else state.socket.destroySoon();
    }
  }

  /** Ends all connections without losing a request: at once, or with their next answers. */
  retireAll(): void {
    for (const state of this.states.values()) {
      if (this.idle.has(state) && isUnread(state)) state.socket.destroy();
      else state.isRetired = true;
    }
  }

  private noteAnswered(state: ConnectionState): void {
    if (!this.states.has(state.socket)) return;
    state.requests--;
    this.requests--;
    if (state.requests === 0) {
      state.newest = undefined;
      state.answeredBytes = state.socket.bytesRead;
      this.idle.add(state);
    }
    state.answered?.(state.requests);
  }
}

/** Whether nothing was read of the next request. */
function isUnread({socket, answeredBytes}: ConnectionState): boolean {
  return socket.bytesRead === answeredBytes;
}
