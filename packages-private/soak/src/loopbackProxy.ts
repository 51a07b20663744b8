import {connect, createServer} from 'node:net';
import type {Server, Socket} from 'node:net';
import {systemClock} from '@lilacledge/shared';

/** How a proxy treats connections and their bytes. */
export type LinkFault =
  | {readonly kind: 'none'}
  | {readonly kind: 'delayed'; readonly delayMs: number}
  /** Resets open connections and new ones. */
  | {readonly kind: 'reset'}
  /** Connections stay open, but nothing is forwarded in either direction. */
  | {readonly kind: 'silent'}
  /** Connections stay open; what is sent on them arrives once the fault ends. */
  | {readonly kind: 'held'}
  /** Bytes to the server are forwarded; bytes from the server are dropped. */
  | {readonly kind: 'answersLost'};

/** A TCP proxy on the loopback interface that injects link faults. */
export class LoopbackProxy {
  private fault: LinkFault = {kind: 'none'};
  /** Deliveries that wait for the end of a fault, in their order. */
  private held: Array<() => void> = [];
  private readonly connections = new Set<readonly [Socket, Socket]>();
  /** Sockets of connections on which nothing arrives any more. */
  private readonly silenced = new WeakSet<Socket>();
  private readonly server: Server;
  /** Time at which all bytes on the way to the client have been transferred. */
  private idleAtMs = 0;

  constructor(
    readonly port: number,
    private readonly targetPort: () => number | undefined,
    private readonly bytesPerMs = Number.POSITIVE_INFINITY,
  ) {
    this.server = createServer({allowHalfOpen: true}, (socket) => {
      this.accept(socket);
    });
    this.server.listen(port, '127.0.0.1');
  }

  get connectionCount(): number {
    return this.connections.size;
  }

  /** Starts a fault; the result ends it. */
  startFault(fault: LinkFault): () => void {
    this.setFault(fault);
    return () => this.setFault({kind: 'none'});
  }

  setFault(fault: LinkFault): void {
    const droppedBytes = dropsBytes(this.fault);
    this.fault = fault;
    // Connections that lost bytes can't work again.
    if (fault.kind === 'reset' || droppedBytes) this.resetAll();
    if (fault.kind === 'held') return;
    const {held} = this;
    this.held = [];
    for (const deliver of held) deliver();
  }

  /** Forwards nothing more on the open connections; new ones work. */
  silenceOpenConnections(): void {
    for (const [client, upstream] of this.connections) {
      this.silenced.add(client).add(upstream);
    }
  }

  close(): void {
    this.server.close();
    this.resetAll();
  }

  private resetAll(): void {
    for (const [client, upstream] of this.connections) {
      client.resetAndDestroy();
      upstream.resetAndDestroy();
    }
  }

  private accept(client: Socket): void {
    const port = this.targetPort();
    if (port === undefined || this.fault.kind === 'reset') {
      client.on('error', () => {});
      client.resetAndDestroy();
      return;
    }
    const upstream = connect({port, host: '127.0.0.1', allowHalfOpen: true});
    const connection = [client, upstream] as const;
    this.connections.add(connection);
    this.pipe(client, upstream, 'towardsServer');
    this.pipe(upstream, client, 'towardsClient');
    for (const socket of connection) {
      socket.on('close', () => this.connections.delete(connection));
    }
  }

  private pipe(
    from: Socket,
    to: Socket,
    direction: 'towardsServer' | 'towardsClient',
  ): void {
    from.setNoDelay(true);
    // Passes a reset on to the other side, as without a proxy.
    from.on('error', () => {
      if (this.fault.kind !== 'held') to.resetAndDestroy();
      else this.held.push(() => to.resetAndDestroy());
    });
    from.on('data', (chunk) => {
      if (this.silenced.has(from)) return;
      const deliver = (): void =>
        this.forward(direction, () => to.write(chunk));
      const transferMs =
        direction === 'towardsClient'
          ? this.reserveTransferMs(chunk.length)
          : 0;
      if (transferMs === 0) {
        deliver();
        return;
      }
      // One chunk is in flight at a time: the next is read once this one is delivered.
      from.pause();
      setTimeout(() => {
        deliver();
        from.resume();
      }, transferMs);
    });
    // The client does not learn that a silent connection was closed.
    const isHidden = (): boolean =>
      direction === 'towardsClient' && this.silenced.has(from);
    from.on('end', () => {
      if (!isHidden()) this.forward(direction, () => to.end());
    });
    from.on('close', () => {
      if (!isHidden()) this.forward(direction, () => to.destroy());
    });
  }

  /** Reserves the link for a transfer to the client; the result is the time until it is done. */
  private reserveTransferMs(bytes: number): number {
    const nowMs = systemClock.nowMs();
    const startsAtMs = Math.max(this.idleAtMs, nowMs);
    this.idleAtMs = startsAtMs + bytes / this.bytesPerMs;
    return this.idleAtMs - nowMs;
  }

  private forward(
    direction: 'towardsServer' | 'towardsClient',
    deliver: () => void,
  ): void {
    switch (this.fault.kind) {
      case 'none':
        deliver();
        return;
      case 'delayed':
        setTimeout(deliver, this.fault.delayMs);
        return;
      case 'held':
        this.held.push(deliver);
        return;
      case 'answersLost':
        if (direction === 'towardsServer') deliver();
        return;
      case 'silent':
      case 'reset':
    }
  }
}

function dropsBytes(fault: LinkFault): boolean {
  return fault.kind === 'silent' || fault.kind === 'answersLost';
}
