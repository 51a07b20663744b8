import {AsyncQueue} from '@lilacledge/shared';
import type {IncomingMessage, Server} from 'node:http';
import type {Duplex} from 'node:stream';
import {WebSocket, WebSocketServer} from 'ws';
import type {RawData} from 'ws';
import {decodeMessage, encodeMessage} from './codec.js';
import {createTraffic, isControlMessage} from './link.js';
import type {Link, LinkAddress, LinkDialer, LinkEndReason} from './link.js';
import type {Message} from './messages.js';

/** Maximum frame size that either side accepts. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;

/** Maximum size of a body in a message; the rest of a frame is for the other fields. */
export const MAX_BODY_BYTES = MAX_FRAME_BYTES - 16 * 1024;

/** Path of the WebSocket on a sidecar's HTTP port. */
export const LINK_PATH = '/link';

const CLOSE_CODE_NORMAL = 1000;
const CLOSE_CODE_POLICY_VIOLATION = 1008;

const SOCKET_OPTIONS = {
  maxPayload: MAX_FRAME_BYTES,
  perMessageDeflate: false,
} as const;

/** Dials sidecars over WebSocket. */
export function createWsDialer(handshakeTimeoutMs: number): LinkDialer {
  return {
    dial(address: LinkAddress): Promise<Link> {
      const url = `ws://${address.host}:${address.port}${LINK_PATH}`;
      const socket = new WebSocket(url, {
        ...SOCKET_OPTIONS,
        handshakeTimeout: handshakeTimeoutMs,
      });
      const link = createLink(socket);
      return new Promise((resolve, reject) => {
        socket.once('open', () => resolve(link));
        socket.once('error', reject);
      });
    },
  };
}

/** Accepts links on WebSocket upgrade requests of an HTTP server. */
export function acceptWsLinks(
  server: Server,
  onLink: (link: Link) => void,
): void {
  const sockets = new WebSocketServer({...SOCKET_OPTIONS, noServer: true});
  server.on(
    'upgrade',
    (request: IncomingMessage, socket: Duplex, head: Buffer) => {
      if (request.url !== LINK_PATH) {
        socket.destroy();
        return;
      }
      sockets.handleUpgrade(request, socket, head, (webSocket) => {
        onLink(createLink(webSocket));
      });
    },
  );
}

function createLink(socket: WebSocket): Link {
  const inbox = new AsyncQueue<Message>();
  const traffic = createTraffic();
  let end: LinkEndReason | undefined;
  let resolveEnded!: (end: LinkEndReason) => void;
  const ended = new Promise<LinkEndReason>((resolve) => {
    resolveEnded = resolve;
  });

  function finish(reason: LinkEndReason): void {
    if (end !== undefined) return;
    end = reason;
    inbox.close();
    resolveEnded(reason);
  }

  function close(reason: LinkEndReason): void {
    const code =
      reason.kind === 'closed'
        ? CLOSE_CODE_NORMAL
        : CLOSE_CODE_POLICY_VIOLATION;
    finish(reason);
    // A peer that has stopped reading never answers the close handshake: terminate after 1 s.
    if (socket.readyState === WebSocket.OPEN) socket.close(code, reason.kind);
    setTimeout(() => socket.terminate(), 1_000).unref();
  }

  socket.binaryType = 'nodebuffer';
  socket.on('message', (data: RawData) => {
    const frame = data as Buffer;
    traffic.receivedMessages++;
    traffic.receivedBytes += frame.length;
    const message = decodeMessage(frame);
    if (message === undefined) {
      close({kind: 'malformed', detail: `frame of ${frame.length} bytes`});
      return;
    }
    inbox.push(message);
  });
  socket.on('close', (code) => {
    finish({kind: 'closed', detail: `peer closed with code ${code}`});
  });
  socket.on('error', (error) => {
    finish({kind: 'closed', detail: error.message});
    socket.terminate();
  });

  return {
    get isOpen() {
      return end === undefined && socket.readyState === WebSocket.OPEN;
    },
    get bufferedBytes() {
      return socket.bufferedAmount;
    },
    traffic,
    ended,
    send(message) {
      if (end !== undefined || socket.readyState !== WebSocket.OPEN) return;
      const frame = encodeMessage(message);
      traffic.sentMessages++;
      traffic.sentBytes += frame.length;
      if (isControlMessage(message)) traffic.sentControlBytes += frame.length;
      socket.send(frame);
    },
    receive: () => inbox,
    close,
  };
}
