import {createServer} from 'node:http';
import type {Server} from 'node:http';
import {backoffMs} from '@lilacledge/shared';
import type {CancelTimer, Clock, Random} from '@lilacledge/shared';
import {WebSocket, WebSocketServer} from 'ws';
import type {Logger} from '../log/boundedLog.js';
import {formatAddress} from '../model/index.js';
import type {EndpointAddress} from '../model/index.js';
import {MAX_FRAME_BYTES, PeerLink} from './peerLink.js';
import type {Hello, PeerMessage} from './peerMessages.js';

/** Backoff before an address is dialled again after its link failed. */
const DIAL_BACKOFF = {firstMs: 150, maxMs: 2_000};

/** Timeout for opening a link. */
const HANDSHAKE_TIMEOUT_MS = 1_000;

/** The process at the other end of an open link. */
export interface Peer {
  readonly hello: Hello;
  send(message: PeerMessage): void;
  close(cause: string): void;
}

/** Callbacks of a mesh. */
export interface PeerMeshEvents {
  opened(peer: Peer): void;
  message(peer: Peer, message: PeerMessage): void;
  closed(peer: Peer): void;
}

/** A link that this process dials, and dials again when it is lost. */
interface OutgoingLink {
  socket: WebSocket | undefined;
  /** True once released: an open link is kept until it closes or a timer ends it. */
  isReleased: boolean;
  cancelRelease: CancelTimer;
}

/** Manages the links of one process: those that it dials and those that it accepts. */
export class PeerMesh {
  private readonly open = new Set<Peer>();
  /** Links that this process dials, by formatted address. */
  private readonly outgoingLinks = new Map<string, OutgoingLink>();
  private isStopped = false;

  constructor(
    private readonly hello: Hello,
    private readonly events: PeerMeshEvents,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Logger,
    /** Time within which the peers must know again what they have missed. */
    private readonly settleMs: () => number,
  ) {}

  get peers(): Iterable<Peer> {
    return this.open;
  }

  broadcast(message: PeerMessage): void {
    for (const peer of this.open) peer.send(message);
  }

  /** Creates a server that accepts links once it listens. */
  createServer(): Server {
    const server = createServer((_request, response) => {
      response.writeHead(404, {'content-length': 0}).end();
    });
    const sockets = new WebSocketServer({
      server,
      maxPayload: MAX_FRAME_BYTES,
      perMessageDeflate: false,
    });
    sockets.on('connection', (socket) => this.attachSocket(socket));
    // These are the errors of `server`, which whoever lets it listen handles.
    sockets.on('error', () => {});
    return server;
  }

  /** Opens a link to an address and keeps it open until it is dropped or released. */
  dial(address: EndpointAddress): void {
    const name = formatAddress(address);
    if (name === this.hello.linkAddress) return;
    const known = this.outgoingLinks.get(name);
    if (known !== undefined) {
      known.isReleased = false;
      known.cancelRelease();
      return;
    }
    const link = {
      socket: undefined,
      isReleased: false,
      cancelRelease: () => {},
    };
    this.outgoingLinks.set(name, link);
    this.connect(name, link, 0);
  }

  /** Closes the link to an address at once, and does not dial it again. */
  drop(address: EndpointAddress): void {
    const name = formatAddress(address);
    const link = this.outgoingLinks.get(name);
    if (link !== undefined) this.end(name, link);
  }

  /**
   * Stops dialling an address. An open link is kept for up to `keptMs`, as it works and
   * may be needed again soon.
   */
  release(address: EndpointAddress, keptMs = Number.POSITIVE_INFINITY): void {
    this.releaseLink(formatAddress(address), keptMs);
  }

  /**
   * Dials these addresses only. Open links to other addresses are kept for `keptMs` plus
   * up to half of it as jitter, so that they do not all close at the same time.
   */
  retain(addresses: readonly EndpointAddress[], keptMs = 0): void {
    const kept = new Set(addresses.map(formatAddress));
    for (const name of [...this.outgoingLinks.keys()]) {
      if (kept.has(name)) continue;
      this.releaseLink(name, keptMs * (1 + this.random() / 2));
    }
    for (const address of addresses) this.dial(address);
  }

  private releaseLink(name: string, keptMs: number): void {
    const link = this.outgoingLinks.get(name);
    if (link === undefined || link.isReleased) return;
    const isOpen = link.socket?.readyState === WebSocket.OPEN;
    if (!isOpen || keptMs <= 0) {
      this.end(name, link);
      return;
    }
    link.isReleased = true;
    if (!Number.isFinite(keptMs)) return;
    link.cancelRelease = this.clock.after(keptMs, () => this.end(name, link));
  }

  private end(name: string, link: OutgoingLink): void {
    link.cancelRelease();
    if (this.outgoingLinks.get(name) === link) this.outgoingLinks.delete(name);
    link.socket?.terminate();
  }

  stop(): void {
    this.isStopped = true;
    for (const {cancelRelease} of this.outgoingLinks.values()) cancelRelease();
    this.outgoingLinks.clear();
    for (const peer of this.open) peer.close('stopped');
  }

  private connect(name: string, link: OutgoingLink, failures: number): void {
    // An address that was dropped and dialled again has a new `OutgoingLink`.
    if (this.isStopped || this.outgoingLinks.get(name) !== link) return;
    if (link.isReleased) {
      this.end(name, link);
      return;
    }
    const socket = new WebSocket(`ws://${name}/`, {
      maxPayload: MAX_FRAME_BYTES,
      perMessageDeflate: false,
      handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
    });
    link.socket = socket;
    let hasOpened = false;
    const ended = (): void => {
      const attempt = hasOpened ? 0 : failures + 1;
      const waitMs = backoffMs(DIAL_BACKOFF, attempt, this.random);
      this.clock.after(waitMs, () => this.connect(name, link, attempt));
    };
    socket.once('error', () => {
      if (!hasOpened) ended();
    });
    socket.once('open', () => {
      hasOpened = true;
      this.attachSocket(socket, ended);
    });
  }

  private attachSocket(socket: WebSocket, ended: () => void = () => {}): void {
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
        unsent: (type, frameBytes) => {
          const to = peer?.hello.instance;
          this.log.error('peer.unsent', {peer: to, type, frameBytes});
        },
      },
      this.clock,
      this.settleMs(),
    );
    link.send(this.hello);
  }
}
