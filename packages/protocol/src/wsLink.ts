import {AsyncQueue} from '@lilacledge/shared';
import type {IncomingMessage, Server} from 'node:http';
import type {Duplex} from 'node:stream';
import {WebSocket, WebSocketServer} from 'ws';
import type {RawData} from 'ws';
import {decodeMessage, encodeMessage} from './codec.js';
import {createTraffic, isControlMessage} from './link.js';
import type {Link, LinkAddress, LinkDialer, LinkEnd} from './link.js';
import type {Message} from './messages.js';

/** Largest frame that either side takes. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;

/** Path of the link on a sidecar's HTTP port. */
export const LINK_PATH = '/link';

const CLOSE_NORMAL = 1000;
const CLOSE_POLICY = 1008;

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
      const link = toLink(socket);
      return new Promise((resolve, reject) => {
        socket.once('open', () => resolve(link));
        socket.once('error', reject);
      });
    },
  };
}

/** Takes links on the upgrade requests of an HTTP server. */
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
        onLink(toLink(webSocket));
      });
    },
  );
}

function toLink(socket: WebSocket): Link {
  const inbox = new AsyncQueue<Message>();
  const traffic = createTraffic();
  let end: LinkEnd | undefined;
  let resolveEnded!: (end: LinkEnd) => void;
  const ended = new Promise<LinkEnd>((resolve) => {
    resolveEnded = resolve;
  });

  function finish(reason: LinkEnd): void {
    if (end !== undefined) return;
    end = reason;
    inbox.close();
    resolveEnded(reason);
  }

  function close(reason: LinkEnd): void {
    const code = reason.kind === 'closed' ? CLOSE_NORMAL : CLOSE_POLICY;
    finish(reason);
    // A peer that has stopped reading would never answer a close handshake.
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
