import {connect, createServer} from 'node:net';
import type {Server, Socket} from 'node:net';
import {systemClock} from '@lilacledge/shared';

/** How a proxy treats the bytes that pass it. */
export type LinkFault =
  | {readonly kind: 'none'}
  | {readonly kind: 'delayed'; readonly delayMs: number}
  /** Resets open connections and new ones. */
  | {readonly kind: 'reset'}
  /** Connections stay open, and nothing passes either way. */
  | {readonly kind: 'silent'}
  /** What the server sends is lost; what it receives arrives. */
  | {readonly kind: 'answersLost'};

/** A TCP proxy on loopback that can be told to misbehave. */
export class LoopbackProxy {
  private fault: LinkFault = {kind: 'none'};
  private readonly pairs = new Set<readonly [Socket, Socket]>();
  private readonly server: Server;
  /** When the link has carried what is on its way to the client. */
  private freeAtMs = 0;

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

  setFault(fault: LinkFault): void {
    const wasStuck = isStuck(this.fault);
    this.fault = fault;
    // Bytes that were held up are lost: such connections never work again.
    if (fault.kind === 'reset' || wasStuck) this.resetAll();
  }

  close(): void {
    this.server.close();
    this.resetAll();
  }

  private resetAll(): void {
    for (const [near, far] of this.pairs) {
      near.resetAndDestroy();
      far.resetAndDestroy();
    }
  }

  private accept(near: Socket): void {
    const port = this.targetPort();
    if (port === undefined || this.fault.kind === 'reset') {
      near.on('error', () => {});
      near.resetAndDestroy();
      return;
    }
    const far = connect({port, host: '127.0.0.1', allowHalfOpen: true});
    const pair = [near, far] as const;
    this.pairs.add(pair);
    this.pipe(near, far, 'towardsServer');
    this.pipe(far, near, 'towardsClient');
    for (const socket of pair) {
      socket.on('close', () => this.pairs.delete(pair));
    }
  }

  private pipe(
    from: Socket,
    to: Socket,
    way: 'towardsServer' | 'towardsClient',
  ): void {
    from.setNoDelay(true);
    // A reset of one side is a reset of the other, as without a proxy.
    from.on('error', () => to.resetAndDestroy());
    from.on('data', (chunk) => {
      const deliver = (): void => this.pass(way, () => to.write(chunk));
      const carriedMs =
        way === 'towardsClient' ? this.carryMs(chunk.length) : 0;
      if (carriedMs === 0) {
        deliver();
        return;
      }
      // A window is one chunk: the next is read when this one has arrived.
      from.pause();
      setTimeout(() => {
        deliver();
        from.resume();
      }, carriedMs);
    });
    from.on('end', () => this.pass(way, () => to.end()));
    from.on('close', () => this.pass(way, () => to.destroy()));
  }

  /** Time until the link has carried so many bytes more. */
  private carryMs(bytes: number): number {
    const nowMs = systemClock.nowMs();
    const beginsMs = Math.max(this.freeAtMs, nowMs);
    this.freeAtMs = beginsMs + bytes / this.bytesPerMs;
    return this.freeAtMs - nowMs;
  }

  private pass(
    way: 'towardsServer' | 'towardsClient',
    deliver: () => void,
  ): void {
    switch (this.fault.kind) {
      case 'none':
        deliver();
        return;
      case 'delayed':
        setTimeout(deliver, this.fault.delayMs);
        return;
      case 'answersLost':
        if (way === 'towardsServer') deliver();
        return;
      case 'silent':
      case 'reset':
    }
  }
}

function isStuck(fault: LinkFault): boolean {
  return fault.kind === 'silent' || fault.kind === 'answersLost';
}
