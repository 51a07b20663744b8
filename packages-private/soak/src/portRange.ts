import type {Server} from 'node:net';
import {END_OF_STACK_PORTS, isFree, tryListen} from '@lilacledge/localstack';

/** Bounds of all ranges, below the ports that the system gives to outgoing connections. */
const MIN_PORT = END_OF_STACK_PORTS;
const END_PORT = 32_000;

/** Distance between the starts of two ranges; a large soak uses 1,500 ports. */
const STRIDE_PORTS = 1_700;

const RANGE_COUNT = Math.floor((END_PORT - MIN_PORT) / STRIDE_PORTS);

/**
 * Hands out ports of the loopback interface, each at most once. Listens on the first port of a
 * range to reserve it, so that concurrent soaks use different ranges.
 */
export class PortRange {
  private nextPort: number;

  private constructor(
    private readonly rangeLock: Server,
    first: number,
  ) {
    this.nextPort = first + 1;
  }

  /** Opens the range of a seed, or the next one that no other soak uses. */
  static async open(seed: number): Promise<PortRange> {
    for (let index = 0; index < RANGE_COUNT; index++) {
      const first = MIN_PORT + ((seed + index) % RANGE_COUNT) * STRIDE_PORTS;
      const rangeLock = await tryListen(first);
      if (rangeLock !== undefined) return new PortRange(rangeLock, first);
    }
    throw new Error('all port ranges are in use');
  }

  close(): void {
    this.rangeLock.close();
  }

  /** Returns the next port that nothing listens on. */
  async take(): Promise<number> {
    while (this.nextPort < END_PORT) {
      const port = this.nextPort++;
      if (await isFree(port)) return port;
    }
    throw new Error('no free port is left for the soak');
  }

  /** Returns the first of two consecutive free ports. */
  async takePair(): Promise<number> {
    let first = await this.take();
    for (;;) {
      const second = await this.take();
      if (second === first + 1) return first;
      first = second;
    }
  }
}
