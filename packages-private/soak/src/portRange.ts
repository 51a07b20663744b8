import {createServer} from 'node:net';
import type {Server} from 'node:net';
import {isFree} from '@lilacledge/localstack';

/** Below the ports that the system gives to outgoing connections. */
const FIRST_PORT = 10_000;
const LAST_PORT = 32_000;

/** Soaks side by side begin this far apart: a large one uses 1,500 ports. */
const STRIDE_PORTS = 1_700;

const RANGES = Math.floor((LAST_PORT - FIRST_PORT) / STRIDE_PORTS);

/**
 * Hands out ports of the loopback interface; none is handed out twice. The first port of a
 * range is held for as long as it is used, so that soaks side by side have ranges of their own.
 */
export class PortRange {
  private next: number;

  private constructor(
    private readonly guard: Server,
    first: number,
  ) {
    this.next = first + 1;
  }

  /** The range of a seed, or the next one that no other soak has. */
  static async open(seed: number): Promise<PortRange> {
    for (let index = 0; index < RANGES; index++) {
      const first = FIRST_PORT + ((seed + index) % RANGES) * STRIDE_PORTS;
      const guard = await hold(first);
      if (guard !== undefined) return new PortRange(guard, first);
    }
    throw new Error('no free range of ports is left');
  }

  close(): void {
    this.guard.close();
  }

  /** A port that nothing listens on now. */
  async take(): Promise<number> {
    while (this.next < LAST_PORT) {
      const port = this.next++;
      if (await isFree(port)) return port;
    }
    throw new Error('no free port is left');
  }

  /** The first of two free ports in a row. */
  async takePair(): Promise<number> {
    let first = await this.take();
    for (;;) {
      const second = await this.take();
      if (second === first + 1) return first;
      first = second;
    }
  }
}

/** Listens on a port; undefined where another process does. */
function hold(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, '127.0.0.1', () => resolve(server));
  });
}
