import {isFree} from '@lilacledge/localstack';

/** Below the ports that the system gives to outgoing connections. */
const FIRST_PORT = 10_000;
const LAST_PORT = 32_000;

/** Soaks side by side begin this far apart: a large one uses 1,500 ports. */
const STRIDE_PORTS = 1_700;

/** Hands out ports of the loopback interface; none is handed out twice. */
export class PortRange {
  private next: number;

  constructor(seed: number) {
    const starts = Math.floor((LAST_PORT - FIRST_PORT) / STRIDE_PORTS);
    this.next = FIRST_PORT + (seed % starts) * STRIDE_PORTS;
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
