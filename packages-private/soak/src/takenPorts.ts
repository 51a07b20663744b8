import {createServer} from 'node:net';
import type {TestNodeSettings} from '@lilacledge/platform-standins';
import {createRandom, systemClock} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';

/** How long another process has a port of a program that is started again. */
const MIN_TAKEN_MS = 200;
const MAX_TAKEN_MS = 1_500;

/** Share of the restarts at which a port is taken. */
const TAKEN_SHARE = 0.7;

/** Gives these draws a seed of their own, so that a seed's other draws stay the same. */
const SEED_OFFSET = 9_000_077;

/** Takes ports of programs for a moment before they are started again. */
export class TakenPorts {
  /** Ports that were taken so far. */
  count = 0;
  private readonly random: Random;
  private isStopped = false;

  constructor(seed: number) {
    this.random = createRandom(seed + SEED_OFFSET);
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Takes one of the ports at which an entry listens; resolves once it is taken. */
  async takeOne({entry, firstPort}: TestNodeSettings): Promise<void> {
    if (this.isStopped || this.random() >= TAKEN_SHARE) return;
    const ports = [firstPort, firstPort + 1];
    if (entry !== undefined) {
      const {callers, readiness, control} = entry;
      ports.push(...[callers, readiness, control].map(portOf));
    }
    const port = ports[Math.floor(this.random() * ports.length)]!;
    const range = MAX_TAKEN_MS - MIN_TAKEN_MS;
    await this.take(port, MIN_TAKEN_MS + this.random() * range);
  }

  private take(port: number, forMs: number): Promise<void> {
    return new Promise((resolve) => {
      const server = createServer((socket) => socket.destroy());
      // The former process has not released it yet, which comes to the same.
      server.once('error', () => resolve());
      server.listen(port, '127.0.0.1', () => {
        this.count++;
        systemClock.after(forMs, () => server.close());
        resolve();
      });
    });
  }
}

function portOf(address: string): number {
  return Number(address.split(':').at(-1));
}
