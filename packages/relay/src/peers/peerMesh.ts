import {createServer} from 'node:http';
import type {Server} from 'node:http';
import {backoffMs} from '@lilacledge/shared';
import type {Clock, Random} from '@lilacledge/shared';
import {WebSocket, WebSocketServer} from 'ws';
import type {DecisionLogger} from '../log/boundedLog.js';
import {formatAddress} from '../model/index.js';
import type {EndpointAddress} from '../model/index.js';
import {MAX_FRAME_BYTES, PeerLink} from './peerLink.js';
import type {Hello, PeerMessage} from './peerMessages.js';

/** Pause before a link that was lost is dialled again. */
const DIAL_BACKOFF = {firstMs: 150, maxMs: 2_000};

/** Longest wait for a link to open. */
const HANDSHAKE_TIMEOUT_MS = 1_000;

/** A process at the other end of an open link. */
export interface Peer {
  readonly hello: Hello;
  send(message: PeerMessage): void;
  close(cause: string): void;
}

/** What the mesh tells of its peers. */
export interface PeerMeshEvents {
  opened(peer: Peer): void;
  message(peer: Peer, message: PeerMessage): void;
  closed(peer: Peer): void;
}

/** The tries to keep a link to one address. */
interface Dial {
  socket: WebSocket | undefined;
}

/** The links of one process: those it dials and those it accepts. */
export class PeerMesh {
  private readonly open = new Set<Peer>();
  /** Addresses that are dialled. */
  private readonly dialled = new Map<string, Dial>();
  private isStopped = false;

  constructor(
    private readonly hello: Hello,
    private readonly events: PeerMeshEvents,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: DecisionLogger,
  ) {}

  get peers(): Iterable<Peer> {
    return this.open;
  }

  broadcast(message: PeerMessage): void {
    for (const peer of this.open) peer.send(message);
  }

  /** Accepts links at an address of this process. */
  listen(address: EndpointAddress): Server {
    const server = createServer((_request, response) => {
      response.writeHead(404, {'content-length': 0}).end();
    });
    const sockets = new WebSocketServer({
      server,
      maxPayload: MAX_FRAME_BYTES,
      perMessageDeflate: false,
    });
    sockets.on('connection', (socket) => this.take(socket));
    sockets.on('error', (error) => {
      this.log.error('peer.listenFailed', {error: error.message});
    });
    server.listen({host: address.host, port: address.port});
    return server;
  }

  /** Keeps a link to an address until `forget` or `stop`. */
  dial(address: EndpointAddress): void {
    const name = formatAddress(address);
    if (this.dialled.has(name) || name === this.hello.linkAddress) return;
    const dial: Dial = {socket: undefined};
    this.dialled.set(name, dial);
    this.connect(name, dial, 0);
  }

  /** Dials these addresses and ends the links to others that were dialled. */
  retain(addresses: readonly EndpointAddress[]): void {
    const kept = new Set(addresses.map(formatAddress));
    for (const [name, {socket}] of [...this.dialled]) {
      if (kept.has(name)) continue;
      this.dialled.delete(name);
      socket?.terminate();
    }
    for (const address of addresses) this.dial(address);
  }

  stop(): void {
    this.isStopped = true;
    this.dialled.clear();
    for (const peer of this.open) peer.close('stopped');
  }

  private connect(name: string, dial: Dial, failures: number): void {
    // An address that was dropped and dialled again has a dial of its own.
    if (this.isStopped || this.dialled.get(name) !== dial) return;
    const socket = new WebSocket(`ws://${name}/`, {
      maxPayload: MAX_FRAME_BYTES,
      perMessageDeflate: false,
      handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
    });
    dial.socket = socket;
    let hasOpened = false;
    const ended = (): void => {
      const attempt = hasOpened ? 0 : failures + 1;
      const waitMs = backoffMs(DIAL_BACKOFF, attempt, this.random);
      this.clock.after(waitMs, () => this.connect(name, dial, attempt));
    };
    socket.once('error', () => {
      if (!hasOpened) ended();
    });
    socket.once('open', () => {
      hasOpened = true;
      this.take(socket, ended);
    });
  }

  private take(socket: WebSocket, ended: () => void = () => {}): void {
    let peer: Peer | undefined;
    const link = new PeerLink(
      socket,
      {
        message: (message) => {
          if (peer !== undefined) {
            this.events.message(peer, message);
            return;
          }
          if (message.type !== 'hello') {
            link.close('no greeting');
            return;
          }
          peer = {
            hello: message,
            send: (sent) => link.send(sent),
            close: (cause) => link.close(cause),
          };
          this.open.add(peer);
          this.log.info('peer.opened', {
            peer: message.instance,
            role: message.role,
          });
          this.events.opened(peer);
        },
        closed: (cause) => {
          if (peer !== undefined) {
            this.open.delete(peer);
            this.log.info('peer.closed', {peer: peer.hello.instance, cause});
            this.events.closed(peer);
          }
          ended();
        },
      },
      this.clock,
    );
    link.send(this.hello);
  }
}
