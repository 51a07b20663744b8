import {createServer} from 'node:net';

/**
 * Ports below the range that the system gives to outgoing connections: a port
 * from that range may be taken by one before its process listens there.
 */
const FIRST_PORT = 10_000;
const BLOCK_PORTS = 100;
const BLOCKS = 200;

/** Each process that starts stacks hands out a block of its own. */
const blockStart = FIRST_PORT + (process.pid % BLOCKS) * BLOCK_PORTS;
let next = 0;

/** A port of the loopback interface that nothing listens on now. */
export async function freePort(): Promise<number> {
  for (let tries = 0; tries < BLOCK_PORTS; tries++) {
    const port = blockStart + (next++ % BLOCK_PORTS);
    if (await isFree(port)) return port;
  }
  throw new Error(`no free port from ${blockStart}`);
}

/** True when nothing listens on a port of the loopback interface. */
export function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => {
      server.close(() => resolve(true));
    });
  });
}
