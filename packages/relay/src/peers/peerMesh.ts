import {createServer} from 'node:http';
import type {Server} from 'node:http';
import {backoffMs} from '@lilacledge/shared';
import type {CancelTimer, Clock, Random} from '@lilacledge/shared';
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
  /** True while its link is only kept until it ends, or its time is over. */
  isReleased: boolean;
  cancelEnd: CancelTimer;
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
      // Others would dial it in vain for as long as it runs.
      throw error;
    });
    server.listen({host: address.host, port: address.port});
    return server;
  }

  /** Keeps a link to an address until it is dropped or released. */
  dial(address: EndpointAddress): void {
    const name = formatAddress(address);
    if (name === this.hello.linkAddress) return;
    const known = this.dialled.get(name);
    if (known !== undefined) {
      known.isReleased = false;
      known.cancelEnd();
      return;
    }
    const dial = {socket: undefined, isReleased: false, cancelEnd: () => {}};
    this.dialled.set(name, dial);
    this.connect(name, dial, 0);
  }

  /** Ends the link to an address at once. */
  drop(address: EndpointAddress): void {
    const name = formatAddress(address);
    const dial = this.dialled.get(name);
    if (dial !== undefined) this.end(name, dial);
  }

  /**
   * An address is no longer dialled. A link that is open stays for `keptMs` at the
   * most: it works, and may soon be wanted again.
   */
  release(address: EndpointAddress, keptMs = Number.POSITIVE_INFINITY): void {
    this.releaseName(formatAddress(address), keptMs);
  }

  /**
   * Dials these addresses and no others; links to others that were dialled are kept
   * for `keptMs` and up to half as long again, so that they do not end all at once.
   */
  retain(addresses: readonly EndpointAddress[], keptMs = 0): void {
    const kept = new Set(addresses.map(formatAddress));
    for (const name of [...this.dialled.keys()]) {
      if (kept.has(name)) continue;
      this.releaseName(name, keptMs * (1 + this.random() / 2));
    }
    for (const address of addresses) this.dial(address);
  }

  private releaseName(name: string, keptMs: number): void {
    const dial = this.dialled.get(name);
    if (dial === undefined || dial.isReleased) return;
    const isOpen = dial.socket?.readyState === WebSocket.OPEN;
    if (!isOpen || keptMs <= 0) {
      this.end(name, dial);
      return;
    }
    dial.isReleased = true;
    if (!Number.isFinite(keptMs)) return;
    dial.cancelEnd = this.clock.after(keptMs, () => this.end(name, dial));
  }

  private end(name: string, dial: Dial): void {
    dial.cancelEnd();
    if (this.dialled.get(name) === dial) this.dialled.delete(name);
    dial.socket?.terminate();
  }

  stop(): void {
    this.isStopped = true;
    for (const {cancelEnd} of this.dialled.values()) cancelEnd();
    this.dialled.clear();
    for (const peer of this.open) peer.close('stopped');
  }

  private connect(name: string, dial: Dial, failures: number): void {
    // An address that was dropped and dialled again has a dial of its own.
    if (this.isStopped || this.dialled.get(name) !== dial) return;
    if (dial.isReleased) {
      this.end(name, dial);
      return;
    }
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
